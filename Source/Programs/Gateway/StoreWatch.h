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

/// How a topic of the store is watched.
struct WatchPlan
{
    /// Name of the watch in logs and metrics.
    std::string name;
    std::string topic;
    /// Long polling: the store answers as soon as there is a record, or after this time without
    /// one. Zero reads without waiting.
    milliseconds wait{0};
    /// Interval from the end of a read to the next one.
    milliseconds interval{0};
    /// Maximum backoff after failed calls. Calls are charged for, and all VMs share the store's
    /// rate limits.
    milliseconds maxBackoff{storeMaxBackoff};
};

/// Events of a watch.
struct WatchEvents
{
    /// A record, in the order of the log. An empty value removes the key.
    std::function<void(const platform::KeyedRecord &)> record;
    /// The newest record of each key. It replaces all records that were reported before.
    std::function<void(const std::vector<platform::KeyedRecord> &)> snapshot;
    /// The store answers again after failed calls.
    std::function<void()> reconnected;
    /// The store answered a read of the topic at this time.
    std::function<void(TimePoint)> answered;
    /// All records that the store had at this time have been reported.
    std::function<void(TimePoint)> upToDate;
};

/// Watches one topic of the platform's store from its construction to its destruction.
class StoreWatch
{
public:
    StoreWatch(EventLoop &loop, HttpClientPool &pool, EventLog &log, Metrics &metrics,
               const Endpoint &store, WatchPlan plan, WatchEvents events);
    ~StoreWatch();
    StoreWatch(const StoreWatch &) = delete;
    StoreWatch &operator=(const StoreWatch &) = delete;

    /// Reads the topic before the interval has passed, because it has changed. Several calls close
    /// to each other cause one read. After a failed read, the backoff still applies.
    void readSoon(TimePoint now);

    /// Reads the topic at once if no read is under way. Only for rare events.
    void readNow();

    /// Ends a call that has timed out.
    void checkTimeouts(TimePoint now);

    /// Offset after the last record that was reported; nothing before the first snapshot.
    std::optional<std::uint64_t> reportedUpTo() const
    {
        return synced_ ? std::optional(nextOffset_) : std::nullopt;
    }

    /// When the store last answered; empty before its first answer.
    std::optional<TimePoint> answeredAt() const { return answeredAt_; }

private:
    void startRead();
    void readNewest();
    void readLog();
    void call(std::string request, milliseconds timeout,
              std::function<void(const HttpResponse &)> done);
    void applyNewest(const HttpResponse &response);
    void applyLog(const HttpResponse &response);
    void succeeded();
    void fail(const std::string &reason, TimePoint now);
    void scheduleRead(milliseconds after);
    milliseconds delayBeforeRead(TimePoint now) const;
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
    /// Whether the call opened its connection; otherwise it reuses a kept one.
    bool connectionIsNew_ = false;
    TimePoint callDeadline_;
    HttpResponse response_;
    bool synced_ = false;
    /// Whether the next read is requested before the plan's interval has passed.
    bool readSoon_ = false;
    std::uint64_t nextOffset_ = 0;
    /// Newest records of the pages that have been read so far.
    std::vector<platform::KeyedRecord> newestRecords_;
    std::optional<std::uint64_t> newestEnd_;
    std::optional<TimePoint> answeredAt_;
    std::uint32_t failures_ = 0;
    EventLoop::TimerId timer_ = 0;
};

} // namespace wisteria
