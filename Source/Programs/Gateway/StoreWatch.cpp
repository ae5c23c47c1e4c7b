#include "Programs/Gateway/StoreWatch.h"

#include <algorithm>
#include <utility>

#include "Programs/Gateway/GatewayMetrics.h"

namespace wisteria {

namespace {

constexpr std::uint32_t maxDoublings = 10;
/// Minimum time from the start of a read to the next one that `readSoon` requests.
constexpr milliseconds minReadPeriod{100};

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

void StoreWatch::call(std::string request, milliseconds timeout,
                      std::function<void(const HttpResponse &)> done)
{
    const TimePoint now = monotonicNow();
    callBegunAt_ = now;
    callDeadline_ = now + timeout;
    response_ = {};
    CallEvents events{.accept = {},
                      .head = [this](const HttpResponseHead &head) { response_.head = head; },
                      .body = [this](std::string_view bytes) { response_.body.append(bytes); },
                      .complete =
                          [this, done = std::move(done)] {
                              call_.reset();
                              done(response_);
                          },
                      .failed =
                          [this](const CallFailure &failure) {
                              call_.reset();
                              fail(failure.reason, monotonicNow());
                          }};
    // After a failure no kept connection is reused, because all of them may be dead.
    const ConnectionUse use = failures_ > 0 ? ConnectionUse::Fresh : ConnectionUse::Reuse;
    const std::uint64_t openedBefore = pool_.opened();
    call_ = pool_.call(store_, std::move(request), use, std::move(events), now);
    connectionIsNew_ = pool_.opened() > openedBefore;
}

void StoreWatch::applyNewest(const HttpResponse &response)
{
    auto page = platform::decodeNewest(response);
    if (page.has_error()) {
        fail(page.error().message, monotonicNow());
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
        fail(page.error().message, monotonicNow());
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
    events_.upToDate(callBegunAt_);
    scheduleRead(delayBeforeRead(monotonicNow()));
}

milliseconds StoreWatch::delayBeforeRead(TimePoint now) const
{
    if (!readSoon_)
        return plan_.interval;
    return std::max(milliseconds(0), minReadPeriod - remaining(callBegunAt_, now));
}

void StoreWatch::readSoon(TimePoint now)
{
    if (readSoon_ || failures_ > 0)
        return;
    readSoon_ = true;
    // The store may have answered the current read before the change, so another read follows it.
    if (!call_)
        scheduleRead(delayBeforeRead(now));
}

void StoreWatch::readNow()
{
    if (!call_)
        scheduleRead(milliseconds(0));
}

void StoreWatch::succeeded()
{
    if (failures_ > 0) {
        log_.info("store.regained", {{"what", plan_.name}, {"failures", failures_}});
        events_.reconnected();
    }
    failures_ = 0;
    countStoreCall(metrics_, plan_.name, "answered");
    answeredAt_ = monotonicNow();
    events_.answered(*answeredAt_);
}

void StoreWatch::fail(const std::string &reason, TimePoint now)
{
    const std::uint32_t doublings = std::min(failures_, maxDoublings);
    const milliseconds backoff = std::min(plan_.maxBackoff, storeInitialBackoff * (1 << doublings));
    const char *event = failures_ == 0 ? "store.lost" : "store.call_failed";
    ++failures_;
    log_.warn(event,
              {{"what", plan_.name},
               {"reason", reason},
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
    if (!call_ || now < callDeadline_)
        return;
    call_.reset();
    fail("no answer in time", now);
}

} // namespace wisteria
