#include "Programs/Gateway/BackendList.h"

#include <set>

#include "platform/ConfigurationCodec.h"

namespace wisteria {

namespace {

/// The platform guarantees that live servers are back in the list at most this long after an
/// outage.
constexpr milliseconds maxReappearanceTime{2000};
/// Time allowed for the read that returns them.
constexpr milliseconds readAllowance{100};

} // namespace

BackendList::BackendList(BackendRegistry &registry, EventLog &log, milliseconds pollInterval)
    : registry_(registry), log_(log),
      keepMissingFor_(maxReappearanceTime + pollInterval + readAllowance)
{ }

void BackendList::apply(const platform::KeyedRecord &record, TimePoint now)
{
    if (record.value.empty()) {
        remove(record.key, now);
        return;
    }
    missing_.erase(record.key);
    auto entry = platform::decodeBackendEntry(record.key, record.value);
    if (entry.has_error()) {
        log_.warn("backend.bad_entry",
                  {{"backend", record.key}, {"reason", entry.error().message}});
        removeBackend(registry_, record.key);
        return;
    }
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
    entry.value().recordOffset = record.offset;
    putBackend(registry_, entry.value(), now);
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

void BackendList::storeReconnected(TimePoint now)
{
    keepMissingUntil_ = now + keepMissingFor_;
}

void BackendList::remove(const std::string &id, TimePoint now)
{
    if (!registry_.backends.contains(id))
        return;
    if (now < keepMissingUntil_) {
        missing_.try_emplace(id, keepMissingUntil_);
        return;
    }
    log_.info("backend.gone", {{"backend", id}});
    removeBackend(registry_, id);
}

void BackendList::checkTimeouts(TimePoint now)
{
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
