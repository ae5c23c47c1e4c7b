#include "Programs/Gateway/QuarantineRecords.h"

#include <algorithm>
#include <utility>

#include "platform/StoreCodec.h"

namespace wisteria {

namespace {

/// How long the store may hold a read that finds no change. Records rarely change, and each read is
/// charged for.
constexpr seconds readWait{28};
constexpr milliseconds readInterval{500};
constexpr seconds maxReadBackoff{5};
/// Records that this gateway writes while the store does not answer; a bound on its memory.
constexpr std::size_t maxUnwritten = 1024;
/// Two records whose ends differ by less were written by gateways that found the request at the
/// same time, with wall clocks that differ.
constexpr std::chrono::minutes clockTolerance{5};

} // namespace

QuarantineRecords::QuarantineRecords(EventLoop &loop, HttpClientPool &pool, EventLog &log,
                                     Metrics &metrics, const Endpoint &store,
                                     QuarantineEvents events)
    : log_(log), events_(std::move(events)), appender_(pool, store, platform::quarantineTopic),
      watch_(loop, pool, log, metrics, store,
             WatchPlan{"quarantine", platform::quarantineTopic, readWait, readInterval,
                       maxReadBackoff},
             WatchEvents{.record = [this](const auto &record) { apply(record); },
                         .snapshot = [this](const auto &records) { applyAll(records); },
                         .answered = [](TimePoint) {},
                         .upToDate = [](const CompleteRead &) {}})
{ }

void QuarantineRecords::add(const Fingerprint &suspect, const KeptQuarantine &kept,
                            TimePoint notBefore)
{
    if (unwritten_.size() >= maxUnwritten && !unwritten_.contains(suspect))
        return;
    platform::QuarantineRecord record{
        .crashes = kept.crashes, .until = wallNow() + kept.left, .with = {}, .trials = kept.trials};
    for (const Fingerprint &other : kept.with)
        record.with.push_back(toText(other));
    unwritten_[suspect] = {.record = std::move(record), .notBefore = notBefore};
}

void QuarantineRecords::remove(const Fingerprint &request)
{
    unwritten_.erase(request);
    if (recorded_.contains(request))
        unwritten_[request] = {};
}

void QuarantineRecords::apply(const platform::KeyedRecord &record)
{
    const auto request = fingerprintFromText(record.key);
    if (!request) {
        log_.warn("request.bad_quarantine",
                  {{"key", record.key},
                   {"reason", "the key is not a fingerprint of 32 hexadecimal digits; remove it"}});
        return;
    }
    if (record.value.empty()) {
        recorded_.erase(*request);
        unwritten_.erase(*request);
        events_.changed(*request, std::nullopt);
        return;
    }
    const auto value = platform::decodeQuarantine(record.value);
    if (value.has_error()) {
        log_.warn("request.bad_quarantine",
                  {{"key", record.key}, {"reason", value.error().message}});
        return;
    }
    recorded_.insert(*request);
    // Another gateway wrote the record meanwhile.
    const auto own = unwritten_.find(*request);
    if (own != unwritten_.end() && own->second.record
        && own->second.record->until <= value.value().until + clockTolerance
        && own->second.record->trials <= value.value().trials)
        unwritten_.erase(own);
    KeptQuarantine kept{.crashes = value.value().crashes,
                        .left = value.value().until - wallNow(),
                        .with = {},
                        .trials = value.value().trials};
    for (const std::string &other : value.value().with) {
        if (const auto fingerprint = fingerprintFromText(other))
            kept.with.push_back(*fingerprint);
    }
    if (kept.left > milliseconds(0))
        events_.changed(*request, kept);
}

void QuarantineRecords::applyAll(const std::vector<platform::KeyedRecord> &records)
{
    const std::set<Fingerprint> before = std::exchange(recorded_, {});
    for (const platform::KeyedRecord &record : records)
        apply(record);
    for (const Fingerprint &request : before) {
        if (!recorded_.contains(request))
            events_.changed(request, std::nullopt);
    }
}

void QuarantineRecords::checkTimeouts(TimePoint now)
{
    watch_.checkTimeouts(now);
    appender_.checkTimeouts(now);
    if (unwritten_.empty() || !appender_.ready(now) || !watch_.reportedUpTo())
        return;
    const auto due = std::find_if(unwritten_.begin(), unwritten_.end(), [now](const auto &change) {
        return change.second.notBefore <= now;
    });
    if (due != unwritten_.end())
        write(due->first, due->second, now);
}

void QuarantineRecords::write(const Fingerprint &request, const Change &change, TimePoint now)
{
    const std::string value = change.record ? platform::encodeQuarantine(*change.record) : "";
    // A record that an operator has just removed must not come back.
    const auto at = watch_.reportedUpTo();
    appender_.append(toText(request), value, at, now,
                     [this, request, written = change.record](const Result<void> &appended) {
                         finishWrite(request, written, appended);
                     });
}

void QuarantineRecords::finishWrite(const Fingerprint &request,
                                    const std::optional<platform::QuarantineRecord> &written,
                                    const Result<void> &appended)
{
    watch_.readSoon(monotonicNow());
    if (appended.has_error()) {
        log_.warn("request.quarantine_not_written",
                  {{"fingerprint", toText(request)}, {"reason", appended.error().message}});
        return;
    }
    appender_.resetBackoff();
    const auto own = unwritten_.find(request);
    if (own != unwritten_.end() && own->second.record == written)
        unwritten_.erase(own);
}

} // namespace wisteria
