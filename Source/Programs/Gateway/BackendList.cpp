#include "Programs/Gateway/BackendList.h"

#include <set>
#include <utility>

#include "platform/ConfigurationCodec.h"

namespace wisteria {

namespace {

/// The platform guarantees that live servers are back in the list at most this long after an
/// outage.
constexpr milliseconds maxReappearanceTime{2000};
/// Time allowed for the read that returns them.
constexpr milliseconds readAllowance{100};

} // namespace

void logColdBegin(EventLog &log, const ColdServers &coldServers, const std::string &id,
                  TimePoint now)
{
    const ColdPhase &phase = coldServers.phases.at(id);
    log.info("backend.cold",
             {{"backend", id},
              {"for_s", secondsOf(remaining(now, phase.until))},
              {"per_second", coldRateOf(coldServers, phase.service)}});
}

BackendList::BackendList(BackendRegistry &registry, EventLog &log, milliseconds pollInterval,
                         EntryChanged entryChanged)
    : registry_(registry), log_(log), entryChanged_(std::move(entryChanged)),
      keepMissingFor_(maxReappearanceTime + pollInterval + readAllowance)
{ }

void BackendList::apply(const platform::KeyedRecord &record, TimePoint now)
{
    if (record.value.empty()) {
        remove(record.key, now);
        return;
    }
    auto entry = platform::decodeBackendEntry(record.key, record.value);
    if (entry.has_error()) {
        missing_.erase(record.key);
        log_.warn("backend.bad_entry",
                  {{"backend", record.key}, {"reason", entry.error().message}});
        loggedColdProblems_.erase(record.key);
        removeBackend(registry_, record.key);
        return;
    }
    entry.value().recordOffset = record.offset;
    if (const std::string reason = reasonToIgnore(entry.value(), now); !reason.empty()) {
        log_.info("backend.entry_ignored",
                  {{"backend", record.key},
                   {"reason", reason},
                   {"sequence", entry.value().sequence.value_or(0)},
                   {"offset", record.offset}});
        return;
    }
    missing_.erase(record.key);
    removedServers_.erase(record.key);
    const auto previous = registry_.backends.find(record.key);
    const bool changed = previous == registry_.backends.end()
        || previous->second.entry.draining != entry.value().draining
        || previous->second.entry.address != entry.value().address
        || previous->second.entry.startedAt != entry.value().startedAt;
    if (changed) {
        log_.info("backend.entry",
                  {{"backend", record.key},
                   {"service", entry.value().service},
                   {"address", toText(entry.value().address)},
                   {"draining", entry.value().draining},
                   {"started", entry.value().startedAt},
                   {"offset", record.offset}});
    }
    if (changed)
        entryChanged_(record.key, entry.value().startedAt, now);
    const bool wasCold = isCold(registry_.coldServers, record.key, now);
    putBackend(registry_, entry.value(), now);
    if (!wasCold && isCold(registry_.coldServers, record.key, now))
        logColdBegin(log_, registry_.coldServers, record.key, now);
    logColdProblem(entry.value(), now);
}

void BackendList::logColdProblem(const BackendEntry &entry, TimePoint now)
{
    const ColdServers &coldServers = registry_.coldServers;
    std::string problem = entry.coldProblem;
    if (problem.empty() && isCold(coldServers, entry.id, now) && coldServers.configured
        && coldRateOf(coldServers, entry.service) == 0) {
        problem = "the server is cold, but its service has no 'cold_per_s' above 0, so its rate is "
                  "not limited; add it to the configuration";
    }
    // Each record of a server repeats the problem, often with another number.
    if (problem.empty())
        loggedColdProblems_.erase(entry.id);
    else if (loggedColdProblems_.insert(entry.id).second)
        log_.warn("backend.bad_cold_time", {{"backend", entry.id}, {"reason", problem}});
}

void BackendList::applyAll(const std::vector<platform::KeyedRecord> &records, TimePoint now)
{
    std::set<std::string> listed;
    for (const platform::KeyedRecord &record : records) {
        listed.insert(record.key);
        apply(record, now);
    }
    std::vector<std::string> unlisted;
    for (const auto &[id, state] : registry_.backends) {
        if (!listed.contains(id))
            unlisted.push_back(id);
    }
    for (const std::string &id : unlisted)
        remove(id, now);
    known_ = true;
}

std::string BackendList::reasonToIgnore(const BackendEntry &entry, TimePoint now) const
{
    const auto known = registry_.backends.find(entry.id);
    if (known != registry_.backends.end() && isOlder(entry, known->second.entry))
        return "it was written before the last one";
    if (isLateWrite(removedServers_, entry, now))
        return "its server has left";
    return "";
}

void BackendList::storeReconnected(TimePoint now)
{
    keepMissingUntil_ = now + keepMissingFor_;
}

void BackendList::remove(const std::string &id, TimePoint now)
{
    if (!registry_.backends.contains(id))
        return;
    if (now < keepMissingUntil_) {
        if (missing_.try_emplace(id, keepMissingUntil_).second) {
            log_.info("backend.kept",
                      {{"backend", id}, {"for_s", secondsOf(remaining(now, keepMissingUntil_))}});
        }
        return;
    }
    noteRemoved(removedServers_, {.entry = registry_.backends.at(id).entry, .removedAt = now});
    log_.info("backend.gone", {{"backend", id}});
    loggedColdProblems_.erase(id);
    removeBackend(registry_, id);
}

void BackendList::checkTimeouts(TimePoint now)
{
    for (const std::string &id : endColdPhases(registry_.coldServers, now))
        log_.info("backend.warm", {{"backend", id}});
    for (auto entry = missing_.begin(); entry != missing_.end();) {
        if (now < entry->second) {
            ++entry;
            continue;
        }
        const std::string id = entry->first;
        entry = missing_.erase(entry);
        remove(id, now);
    }
}

} // namespace wisteria
