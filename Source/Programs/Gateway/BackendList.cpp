#include "Programs/Gateway/BackendList.h"

#include <set>
#include <utility>

#include "Programs/Gateway/GatewayMetrics.h"
#include "platform/ConfigurationCodec.h"

namespace wisteria {

namespace {

/// How long before the end of a kept server's time the list is read once more: its entry may just
/// have returned.
constexpr milliseconds rereadLead{150};

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

BackendList::BackendList(BackendRegistry &registry, EventLog &log, Metrics &metrics,
                         const EntryTimes &times, EntryChanged entryChanged,
                         std::function<void()> reread)
    : registry_(registry), log_(log), metrics_(metrics), entryChanged_(std::move(entryChanged)),
      reread_(std::move(reread)), history_{.times = times}
{ }

void BackendList::apply(const platform::KeyedRecord &record, TimePoint now)
{
    if (record.value.empty()) {
        noteRemoval(record.key, now);
        return;
    }
    auto entry = platform::decodeBackendEntry(record.key, record.value);
    if (entry.has_error()) {
        log_.warn("backend.bad_entry",
                  {{"backend", record.key}, {"reason", entry.error().message}});
        loggedColdProblems_.erase(record.key);
        removedInRead_.erase(record.key);
        kept_.erase(record.key);
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
    removedInRead_.erase(record.key);
    kept_.erase(record.key);
    removedServers_.erase(record.key);
    const auto previous = registry_.backends.find(record.key);
    if (previous == registry_.backends.end()
        || isNextHeartbeat(entry.value(), previous->second.entry))
        noteHeartbeat(history_, record.key, record.offset);
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
    for (const auto &[id, state] : registry_.backends) {
        if (!listed.contains(id))
            noteRemoval(id, now);
    }
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

void BackendList::noteRemoval(const std::string &id, TimePoint now)
{
    const auto found = registry_.backends.find(id);
    // A removal that is read again does not keep its server for longer.
    if (found == registry_.backends.end() || kept_.contains(id))
        return;
    removedInRead_.insert(id);
    noteRemovalRead(history_);
    noteRemoved(removedServers_,
                {.entry = found->second.entry,
                 .removedAt = now,
                 .certainlyLeft = certainlyLeft(history_, id, now)});
}

void BackendList::finishRead(const ListRead &read)
{
    noteCompleteRead(history_, read);
    for (const std::string &id : std::exchange(removedInRead_, {}))
        settleRemoval(id);
}

void BackendList::settleRemoval(const std::string &id)
{
    const TimePoint now = history_.lastRead->endedAt;
    const Removal removal = judgeRemoval(history_, id);
    BackendState &state = registry_.backends.at(id);
    if (state.entry.draining || removal.usableUntil <= now) {
        remove(id, "left", removal);
        return;
    }
    state.usableUntil = removal.usableUntil;
    kept_[id] = removal;
    countEntryRemoval(metrics_, "kept");
    log_.info("backend.kept",
              {{"backend", id},
               {"for_s", secondsOf(remaining(now, removal.usableUntil))},
               {"silent_s", secondsOf(removal.silence.value_or(milliseconds(0)))},
               {"outage_s", secondsOf(removal.outage)},
               {"away_s", secondsOf(remaining(history_.outage->awayAt, now))}});
}

void BackendList::remove(const std::string &id, const char *reason, const Removal &removal)
{
    countEntryRemoval(metrics_, reason);
    log_.info("backend.gone",
              {{"backend", id},
               {"reason", reason},
               {"silent_s", secondsOf(removal.silence.value_or(milliseconds(0)))},
               {"outage_s", secondsOf(removal.outage)}});
    loggedColdProblems_.erase(id);
    forgetHeartbeats(history_, id);
    removeBackend(registry_, id);
}

void BackendList::checkTimeouts(TimePoint now)
{
    for (const std::string &id : endColdPhases(registry_.coldServers, now))
        log_.info("backend.warm", {{"backend", id}});
    bool reread = false;
    for (auto entry = kept_.begin(); entry != kept_.end();) {
        const auto &[id, removal] = *entry;
        reread = reread || now >= removal.usableUntil - rereadLead;
        if (now < removal.usableUntil) {
            ++entry;
            continue;
        }
        remove(id, "not back", removal);
        entry = kept_.erase(entry);
    }
    if (reread && now >= nextReread_) {
        nextReread_ = now + rereadLead;
        reread_();
    }
}

} // namespace wisteria
