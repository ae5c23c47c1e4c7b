#pragma once

#include <functional>
#include <memory>

#include "Connection/HttpClientPool.h"
#include "Process/EventLog.h"
#include "Process/EventLoop.h"
#include "Process/Metrics.h"
#include "Programs/Gateway/StorePolling.h"
#include "platform/StoreCodec.h"

namespace wisteria {

/// How a topic of the store is followed.
struct WatchPlan
{
    /// What is followed, for logs and metrics.
    std::string name;
    std::string topic;
    /// The store answers as soon as there is a record, and after this time without one. Zero asks
    /// for what is there.
    milliseconds wait{0};
    /// Pause between two reads.
    milliseconds interval{0};
    /// Longest pause after failed calls. Calls are priced, and the store's rates are shared by all
    /// VMs.
    milliseconds maxBackoff{storeMaxBackoff};
};

/// What a watch tells.
struct WatchEvents
{
    /// A record, in order; without a value the key is removed.
    std::function<void(const platform::KeyedRecord &)> record;
    /// The newest record of each key follows as `record`, in place of all that was told before.
    std::function<void(const std::vector<platform::KeyedRecord> &)> snapshot;
    /// The store answers again after it did not.
    std::function<void()> reconnected;
    /// What is known of the topic is as the store had it at this time.
    std::function<void(TimePoint)> confirmed;
    /// All that the store had at this time has been told.
    std::function<void(TimePoint)> upToDate;
};

/// Follows one topic of the platform's store for as long as it lives.
class StoreWatch
{
public:
    StoreWatch(EventLoop &loop, HttpClientPool &pool, EventLog &log, Metrics &metrics,
               const Endpoint &store, WatchPlan plan, WatchEvents events);
    ~StoreWatch();
    StoreWatch(const StoreWatch &) = delete;
    StoreWatch &operator=(const StoreWatch &) = delete;

    /// Reads without the pause between two reads, as there is news. Several wishes close to each
    /// other are one read, and none is made sooner for them while the store is away.
    void readSoon(TimePoint now);

    /// Gives up a call that has taken too long.
    void checkTimeouts(TimePoint now);

    /// When the store last answered; nothing before its first answer.
    std::optional<TimePoint> answeredAt() const { return answeredAt_; }

private:
    void start();
    void readNewest();
    void readLog();
    void call(std::string request, milliseconds timeout,
              std::function<void(const HttpResponse &)> done);
    void applyNewest(const HttpResponse &response);
    void applyLog(const HttpResponse &response);
    void succeeded();
    void fail(const std::string &reason, TimePoint now);
    void scheduleRead(milliseconds after);
    milliseconds pauseBeforeRead(TimePoint now) const;
    void finishRead(bool behind);

    EventLoop &loop_;
    HttpClientPool &pool_;
    EventLog &log_;
    Metrics &metrics_;
    Endpoint store_;
    WatchPlan plan_;
    WatchEvents events_;
    std::unique_ptr<HttpCall> call_;
    TimePoint callBegunAt_;
    /// Whether the call opened its connection; otherwise it took a kept one.
    bool connectionIsNew_ = false;
    TimePoint giveUpAt_;
    HttpResponse response_;
    bool synced_ = false;
    /// The next read is wanted sooner than the plan's pause says.
    bool soon_ = false;
    std::uint64_t next_ = 0;
    /// Pages of the newest records as they come in.
    std::vector<platform::KeyedRecord> newest_;
    std::optional<std::uint64_t> newestEnd_;
    std::optional<TimePoint> answeredAt_;
    std::uint32_t failures_ = 0;
    EventLoop::TimerId timer_ = 0;
};

} // namespace wisteria
