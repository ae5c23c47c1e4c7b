#include "Programs/Gateway/StoreWatch.h"

#include <algorithm>
#include <utility>

#include "Programs/Gateway/GatewayMetrics.h"

namespace wisteria {

namespace {

constexpr std::uint32_t maxDoublings = 10;
/// Time between the beginnings of two reads, at least, however many wishes there are for one.
constexpr milliseconds minReadPeriod{100};

} // namespace

StoreWatch::StoreWatch(EventLoop &loop, HttpClientPool &pool, EventLog &log, Metrics &metrics,
                       const Endpoint &store, WatchPlan plan, WatchEvents events)
    : loop_(loop), pool_(pool), log_(log), metrics_(metrics), store_(store), plan_(std::move(plan)),
      events_(std::move(events))
{
    start();
}

StoreWatch::~StoreWatch()
{
    loop_.cancel(timer_);
}

void StoreWatch::start()
{
    soon_ = false;
    if (synced_) {
        readLog();
        return;
    }
    newest_.clear();
    newestEnd_.reset();
    readNewest();
}

void StoreWatch::readNewest()
{
    const std::string after = newest_.empty() ? "" : newest_.back().key;
    call(platform::newestRequest(plan_.topic, after), storeAnswerTimeout,
         [this](const HttpResponse &response) { applyNewest(response); });
}

void StoreWatch::readLog()
{
    // A read that waits and gets no answer is given up only after its wait: begun in an outage, it
    // would keep an old version in force for seconds after the store is back. Until the store has
    // answered once, reads ask for what is there and don't wait.
    const milliseconds wait = failures_ > 0 ? milliseconds(0) : plan_.wait;
    call(platform::logReadRequest(plan_.topic, next_, wait), wait + storeAnswerTimeout,
         [this](const HttpResponse &response) { applyLog(response); });
}

void StoreWatch::call(std::string request, milliseconds timeout,
                      std::function<void(const HttpResponse &)> done)
{
    const TimePoint now = monotonicNow();
    callBegunAt_ = now;
    giveUpAt_ = now + timeout;
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
    // After a failure no kept connection is trusted: all may have fallen silent together.
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
    // The pages are no snapshot together: the log is read on from the smallest end seen.
    newestEnd_ = std::min(newestEnd_.value_or(page.value().endOffset), page.value().endOffset);
    auto &records = page.value().records;
    const bool more = page.value().hasMore && !records.empty();
    newest_.insert(newest_.end(), records.begin(), records.end());
    if (more) {
        readNewest();
        return;
    }
    synced_ = true;
    next_ = *newestEnd_;
    events_.snapshot(newest_);
    newest_.clear();
    finishRead(false);
}

void StoreWatch::applyLog(const HttpResponse &response)
{
    auto page = platform::decodeLogRead(response, next_);
    if (page.has_error() && page.error().kind == ErrorKind::NotFound) {
        countStoreCall(metrics_, plan_.name, "history lost");
        log_.info("store.history_lost", {{"what", plan_.name}, {"from", next_}});
        synced_ = false;
        start();
        return;
    }
    if (page.has_error()) {
        fail(page.error().message, monotonicNow());
        return;
    }
    succeeded();
    next_ = page.value().nextOffset;
    for (const platform::KeyedRecord &record : page.value().records)
        events_.record(record);
    finishRead(next_ < page.value().endOffset);
}

void StoreWatch::finishRead(bool behind)
{
    if (behind) {
        scheduleRead(milliseconds(0));
        return;
    }
    events_.upToDate(callBegunAt_);
    scheduleRead(pauseBeforeRead(monotonicNow()));
}

milliseconds StoreWatch::pauseBeforeRead(TimePoint now) const
{
    if (!soon_)
        return plan_.interval;
    return std::max(milliseconds(0), minReadPeriod - remaining(callBegunAt_, now));
}

void StoreWatch::readSoon(TimePoint now)
{
    if (soon_ || failures_ > 0)
        return;
    soon_ = true;
    // A read that is under way may have been answered before the news; another one follows it.
    if (!call_)
        scheduleRead(pauseBeforeRead(now));
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
    events_.confirmed(*answeredAt_);
}

void StoreWatch::fail(const std::string &reason, TimePoint now)
{
    const std::uint32_t doublings = std::min(failures_, maxDoublings);
    const milliseconds pause = std::min(plan_.maxBackoff, storeInitialBackoff * (1 << doublings));
    const char *event = failures_ == 0 ? "store.lost" : "store.call_failed";
    ++failures_;
    log_.warn(event,
              {{"what", plan_.name},
               {"reason", reason},
               {"after_s", secondsOf(remaining(callBegunAt_, now))},
               {"connection", connectionIsNew_ ? "new" : "kept"},
               {"failures", failures_},
               {"next_in_s", secondsOf(pause)}});
    countStoreCall(metrics_, plan_.name, "failed");
    scheduleRead(pause);
}

void StoreWatch::scheduleRead(milliseconds after)
{
    if (after <= milliseconds(0)) {
        loop_.cancel(timer_);
        start();
        return;
    }
    loop_.cancel(timer_);
    timer_ = loop_.runAfter(after, [this] { start(); });
}

void StoreWatch::checkTimeouts(TimePoint now)
{
    if (!call_ || now < giveUpAt_)
        return;
    call_.reset();
    fail("no answer in time", now);
}

} // namespace wisteria
