#include "Programs/Gateway/StoreWatch.h"

#include <algorithm>
#include <utility>

#include "Programs/Gateway/GatewayMetrics.h"

namespace wisteria {

namespace {

constexpr std::uint32_t maxDoublings = 10;
/// Minimum time from the start of a read to the next one that `readSoon` requests, and from the end
/// of a slow read to the next one.
constexpr milliseconds minReadPeriod{100};
/// Calls of one read at the same time.
constexpr std::size_t maxHedgedCalls = 3;

} // namespace

StoreWatch::StoreWatch(EventLoop &loop, HttpClientPool &pool, EventLog &log, Metrics &metrics,
                       const Endpoint &store, WatchPlan plan, WatchEvents events)
    : loop_(loop), pool_(pool), log_(log), metrics_(metrics), store_(store), plan_(std::move(plan)),
      events_(std::move(events))
{
    startRead();
}

StoreWatch::~StoreWatch()
{
    loop_.cancel(timer_);
}

void StoreWatch::startRead()
{
    readSoon_ = false;
    if (synced_) {
        readLog();
        return;
    }
    newestRecords_.clear();
    newestEnd_.reset();
    readNewest();
}

void StoreWatch::readNewest()
{
    const std::string after = newestRecords_.empty() ? "" : newestRecords_.back().key;
    call(platform::newestRequest(plan_.topic, after), storeAnswerTimeout,
         [this](const HttpResponse &response) { applyNewest(response); });
}

void StoreWatch::readLog()
{
    // A read that waits for records times out only after its wait. If it began in an outage, an old
    // version would stay in force for seconds after the store has recovered. After a failure, reads
    // therefore don't wait until the store has answered once.
    const milliseconds wait = failures_ > 0 ? milliseconds(0) : plan_.wait;
    call(platform::logReadRequest(plan_.topic, nextOffset_, wait), wait + storeAnswerTimeout,
         [this](const HttpResponse &response) { applyLog(response); });
}

void StoreWatch::call(std::string request, milliseconds timeout, Answered answered)
{
    callBegunAt_ = monotonicNow();
    callDeadline_ = callBegunAt_ + timeout;
    request_ = std::move(request);
    answered_ = std::move(answered);
    // After a failure no kept connection is reused, because all of them may be dead.
    sendCall(failures_ > 0 ? ConnectionUse::Fresh : ConnectionUse::Reuse);
    connectionIsNew_ = calls_.at(lastCall_).connectionIsNew;
}

void StoreWatch::sendCall(ConnectionUse use)
{
    const TimePoint now = monotonicNow();
    const std::size_t number = ++lastCall_;
    ReadCall &call = calls_[number];
    call.begunAt = now;
    CallEvents events{
        .accept = {},
        .head = [this,
                 number](const HttpResponseHead &head) { calls_.at(number).response.head = head; },
        .body = [this, number](std::string_view bytes) { addToAnswer(number, bytes); },
        .complete = [this, number] { finishCall(number); },
        .failed = [this,
                   number](const CallFailure &failure) { dropFailedCall(number, failure.reason); }};
    const std::uint64_t openedBefore = pool_.opened();
    call.call = pool_.call(store_, request_, use, std::move(events), now);
    call.connectionIsNew = pool_.opened() > openedBefore;
}

/// Adds a part of the body of a call's answer. A call whose answer is too long fails.
void StoreWatch::addToAnswer(std::size_t number, std::string_view bytes)
{
    std::string &body = calls_.at(number).response.body;
    if (body.size() + bytes.size() <= maxStoreAnswerBytes)
        body.append(bytes);
    else
        dropFailedCall(number, "the answer is too long");
}

/// Ends the read with the answer of one of its calls, and gives up the others.
void StoreWatch::finishCall(std::size_t number)
{
    const HttpResponse response = std::move(calls_.at(number).response);
    callBegunAt_ = calls_.at(number).begunAt;
    connectionIsNew_ = calls_.at(number).connectionIsNew;
    for (const auto &[other, call] : calls_) {
        if (other < number)
            failedCallAt_ = std::max(failedCallAt_, call.begunAt);
    }
    calls_.clear();
    const Answered answered = std::move(answered_);
    answered(response);
}

/// The read fails with the last of its calls.
void StoreWatch::dropFailedCall(std::size_t number, const std::string &reason)
{
    if (calls_.size() == 1) {
        fail({ErrorKind::Unavailable, reason}, monotonicNow());
        return;
    }
    failedCallAt_ = std::max(failedCallAt_, calls_.at(number).begunAt);
    calls_.erase(number);
}

void StoreWatch::applyNewest(const HttpResponse &response)
{
    auto page = platform::decodeNewest(response);
    if (page.has_error()) {
        fail(page.error(), monotonicNow());
        return;
    }
    succeeded();
    // The pages are read at different times, so the log is read from the smallest end offset among
    // them.
    newestEnd_ = std::min(newestEnd_.value_or(page.value().endOffset), page.value().endOffset);
    auto &records = page.value().records;
    const bool more = page.value().hasMore && !records.empty();
    newestRecords_.insert(newestRecords_.end(), records.begin(), records.end());
    if (more) {
        readNewest();
        return;
    }
    synced_ = true;
    nextOffset_ = *newestEnd_;
    events_.snapshot(newestRecords_);
    newestRecords_.clear();
    finishRead(false);
}

void StoreWatch::applyLog(const HttpResponse &response)
{
    auto page = platform::decodeLogRead(response, nextOffset_);
    if (page.has_error() && page.error().kind == ErrorKind::NotFound) {
        countStoreCall(metrics_, plan_.name, "history lost");
        log_.info("store.history_lost", {{"what", plan_.name}, {"from", nextOffset_}});
        synced_ = false;
        startRead();
        return;
    }
    if (page.has_error()) {
        fail(page.error(), monotonicNow());
        return;
    }
    succeeded();
    nextOffset_ = page.value().nextOffset;
    for (const platform::KeyedRecord &record : page.value().records)
        events_.record(record);
    finishRead(nextOffset_ < page.value().endOffset);
}

void StoreWatch::finishRead(bool behind)
{
    if (behind) {
        scheduleRead(milliseconds(0));
        return;
    }
    events_.upToDate({.begunAt = callBegunAt_, .failedCallAt = failedCallAt_});
    scheduleRead(delayBeforeRead(monotonicNow()));
}

milliseconds StoreWatch::delayBeforeRead(TimePoint now) const
{
    if (!readSoon_ && plan_.wait > milliseconds(0))
        return plan_.interval;
    if (readSoon_)
        return remaining(now, callBegunAt_ + minReadPeriod);
    return std::max(minReadPeriod, remaining(now, callBegunAt_ + plan_.interval));
}

void StoreWatch::readSoon(TimePoint now)
{
    if (readSoon_ || failures_ > 0)
        return;
    readSoon_ = true;
    // The store may have answered the current read before the change, so another read follows it.
    if (calls_.empty())
        scheduleRead(delayBeforeRead(now));
}

void StoreWatch::readNow()
{
    if (calls_.empty())
        scheduleRead(milliseconds(0));
}

void StoreWatch::succeeded()
{
    if (failures_ > 0)
        log_.info("store.regained", {{"what", plan_.name}, {"failures", failures_}});
    failures_ = 0;
    countStoreCall(metrics_, plan_.name, "answered");
    answeredAt_ = monotonicNow();
    events_.answered(*answeredAt_);
}

void StoreWatch::fail(const Error &error, TimePoint now)
{
    const std::uint32_t doublings = std::min(failures_, maxDoublings);
    const milliseconds backoff = std::min(plan_.maxBackoff, storeInitialBackoff * (1 << doublings));
    const char *event = failures_ == 0 ? "store.lost" : "store.call_failed";
    // A store that refuses too many calls is not away.
    if (error.kind != ErrorKind::RateLimited)
        failedCallAt_ = calls_.empty() ? callBegunAt_ : calls_.rbegin()->second.begunAt;
    calls_.clear();
    ++failures_;
    log_.warn(event,
              {{"what", plan_.name},
               {"reason", error.message},
               {"after_s", secondsOf(remaining(callBegunAt_, now))},
               {"connection", connectionIsNew_ ? "new" : "kept"},
               {"failures", failures_},
               {"next_in_s", secondsOf(backoff)}});
    countStoreCall(metrics_, plan_.name, "failed");
    scheduleRead(backoff);
}

void StoreWatch::scheduleRead(milliseconds after)
{
    if (after <= milliseconds(0)) {
        loop_.cancel(timer_);
        startRead();
        return;
    }
    loop_.cancel(timer_);
    timer_ = loop_.runAfter(after, [this] { startRead(); });
}

void StoreWatch::checkTimeouts(TimePoint now)
{
    if (calls_.empty())
        return;
    if (now >= callDeadline_) {
        fail({ErrorKind::Timeout, "no answer in time"}, now);
        return;
    }
    const bool hedge = plan_.hedgeAfter > milliseconds(0) && calls_.size() < maxHedgedCalls
        && now - calls_.rbegin()->second.begunAt >= plan_.hedgeAfter;
    if (hedge)
        sendCall(ConnectionUse::Fresh);
}

} // namespace wisteria
