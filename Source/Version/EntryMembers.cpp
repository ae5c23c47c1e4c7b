#include "Version/EntryMembers.h"

#include <algorithm>

namespace wisteria {

namespace {

/// Whether the record is from an older incarnation of the entry than the known one, whose address
/// it must not replace.
bool isOutdated(const EntryMembers &members, const v1::EntryMemberRecord &record)
{
    const auto known = members.members.find(record.name());
    return known != members.members.end() && known->second.incarnation > record.incarnation();
}

void applyRecord(EntryMembers &members, const LogRecord &raw, TimePoint now)
{
    v1::EntryMemberRecord record;
    if (!record.ParseFromString(raw.data) || isOutdated(members, record))
        return;
    if (record.leaving())
        members.members.erase(record.name());
    else
        members.members[record.name()] = {record.address(), record.incarnation(), now};
}

/// Removes entries that timed out, measured up to the log's last answer: during an outage of the
/// log the last known set stays, so that limits and subsets don't jump for all entries at once.
void removeTimedOut(EntryMembers &members)
{
    std::erase_if(members.members, [&](const auto &entry) {
        return members.lastContact - entry.second.lastRecord > memberTimeout;
    });
}

std::map<std::string, std::string> addresses(const EntryMembers &members)
{
    std::map<std::string, std::string> known;
    for (const auto &[name, member] : members.members)
        known[name] = member.address;
    return known;
}

} // namespace

bool updateMembers(EntryMembers &members, const LogBatch &batch, TimePoint now)
{
    const auto before = addresses(members);
    // After an outage of the log, every entry gets time to append a record before it times out.
    if (now - members.lastContact > memberInterval) {
        for (auto &[name, member] : members.members)
            member.lastRecord = std::max(member.lastRecord, now - memberInterval);
    }
    members.lastContact = now;
    for (const LogRecord &record : batch.records) {
        if (record.offset <= members.position)
            continue;
        members.position = record.offset;
        applyRecord(members, record, now);
    }
    removeTimedOut(members);
    return addresses(members) != before;
}

std::vector<std::string> memberNames(const EntryMembers &members)
{
    std::vector<std::string> names;
    for (const auto &[name, member] : members.members)
        names.push_back(name);
    return names;
}

std::string memberAddress(const EntryMembers &members, const std::string &name)
{
    const auto found = members.members.find(name);
    return found == members.members.end() ? std::string() : found->second.address;
}

} // namespace wisteria
