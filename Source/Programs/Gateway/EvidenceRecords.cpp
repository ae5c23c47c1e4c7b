#include "Programs/Gateway/EvidenceRecords.h"

#include <algorithm>
#include <utility>

#include "Programs/Gateway/StorePolling.h"

namespace wisteria {

namespace {

/// Until the records are read, crashes that they hold are not known.
constexpr milliseconds maxReadBackoff{500};
/// A record that says it is older is taken for one of this age, which counts no more.
constexpr milliseconds maxEvidenceAge = std::chrono::hours(1);
/// Key of the record with the time until which all crashes are known, which all gateways write. No
/// VM has this name.
constexpr const char *knownUntilKey = "known until";
/// Interval between two looks whether the record can be removed.
constexpr seconds cleanupInterval{10};

/// Adds to a report the time since its record was written.
void addAge(GroupMessage &report, milliseconds passed)
{
    const auto added = static_cast<std::uint32_t>(passed.count());
    if (auto *crash = std::get_if<CrashReport>(&report))
        crash->ageMilliseconds += added;
    else if (auto *copies = std::get_if<CopyReport>(&report))
        copies->ageMilliseconds += added;
}

platform::EvidenceRecord recordOf(const std::vector<GroupMessage> &reports)
{
    platform::EvidenceRecord record{.writtenAt = wallNow(), .messages = {}};
    for (const GroupMessage &report : reports)
        record.messages.push_back(encodeMessage(report));
    return record;
}

} // namespace

EvidenceRecords::EvidenceRecords(HttpClientPool &pool, EventLog &log, const Endpoint &store,
                                 std::string self, EvidenceRecordLinks links)
    : log_(log), store_(store), self_(std::move(self)), links_(std::move(links)),
      calls_(pool, maxStoreAnswerBytes), appender_(pool, store, platform::evidenceTopic),
      knownUntilAppender_(pool, store, platform::evidenceTopic), readBackoff_(storeInitialBackoff)
{ }

void EvidenceRecords::checkTimeouts(TimePoint now)
{
    calls_.checkTimeouts(now);
    appender_.checkTimeouts(now);
    knownUntilAppender_.checkTimeouts(now);
    if (readAfter_) {
        // A record of an earlier life of this gateway must not be replaced before it is read.
        if (calls_.open() == 0 && now >= nextReadAt_)
            read(now);
        return;
    }
    if (recorded_ && now >= nextCleanupAt_) {
        nextCleanupAt_ = now + cleanupInterval;
        changed_ = changed_ || links_.ownReports(now).empty();
    }
    if (changed_ && appender_.ready(now))
        write(now);
    renewKnownUntil(now);
}

/// Writes the time until which all crashes are known, with these crashes. What this gateway has
/// detected is written first.
void EvidenceRecords::renewKnownUntil(TimePoint now)
{
    if (changed_ || !appender_.ready(now) || !knownUntilAppender_.ready(now)
        || !links_.renewsKnownUntil(wallNow()))
        return;
    knownUntilAppender_.append(
        knownUntilKey, platform::encodeEvidence(recordOf(links_.knownReports(now))), {}, now,
        [this](const Result<void> &appended) {
            if (appended.has_error())
                log_.warn("evidence.not_renewed", {{"reason", appended.error().message}});
            else
                knownUntilAppender_.resetBackoff();
        });
}

void EvidenceRecords::read(TimePoint now)
{
    calls_.start(
        store_, platform::newestRequest(platform::evidenceTopic, *readAfter_), storeAnswerTimeout,
        [this](const Result<HttpResponse> &response) { finishRead(response, monotonicNow()); },
        now);
}

void EvidenceRecords::finishRead(const Result<HttpResponse> &response, TimePoint now)
{
    const auto page = response.has_error() ? Result<platform::NewestPage>(response.error())
                                           : platform::decodeNewest(response.value());
    if (page.has_error()) {
        log_.warn("evidence.not_read", {{"reason", page.error().message}});
        readSoFar_.callFailed = true;
        nextReadAt_ = now + readBackoff_;
        readBackoff_ = std::min(maxReadBackoff, readBackoff_ * 2);
        return;
    }
    for (const platform::KeyedRecord &record : page.value().records)
        apply(record);
    const bool more = page.value().hasMore && !page.value().records.empty();
    readAfter_ = more ? std::optional(page.value().records.back().key) : std::nullopt;
    if (readAfter_)
        return;
    readSoFar_.readAt = wallNow();
    links_.allRead(readSoFar_);
}

void EvidenceRecords::apply(const platform::KeyedRecord &record)
{
    if (record.value.empty())
        return;
    const auto decoded = platform::decodeEvidence(record.value);
    if (decoded.has_error()) {
        log_.warn("evidence.refused", {{"key", record.key}, {"reason", decoded.error().message}});
        return;
    }
    if (record.key == knownUntilKey)
        readSoFar_.knownUntil = decoded.value().writtenAt;
    const bool own = record.key == self_;
    recorded_ = recorded_ || own;
    const milliseconds passed =
        std::clamp(wallNow() - decoded.value().writtenAt, milliseconds(0), maxEvidenceAge);
    for (const std::string &bytes : decoded.value().messages) {
        auto message = decodeMessage(bytes);
        if (message.has_error()) {
            log_.warn("evidence.refused",
                      {{"key", record.key}, {"reason", message.error().message}});
            continue;
        }
        addAge(message.value(), passed);
        links_.add(message.value(), own);
    }
}

void EvidenceRecords::write(TimePoint now)
{
    changed_ = false;
    const platform::EvidenceRecord record = recordOf(links_.ownReports(now));
    const bool empty = record.messages.empty();
    if (empty && !recorded_)
        return;
    appender_.append(
        self_, empty ? std::string() : platform::encodeEvidence(record), {}, now,
        [this, empty](const Result<void> &appended) {
            if (appended.has_error()) {
                changed_ = true;
                log_.warn("evidence.not_written", {{"reason", appended.error().message}});
                return;
            }
            recorded_ = !empty;
            appender_.resetBackoff();
        });
}

} // namespace wisteria
