#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "Connection/HttpClientPool.h"
#include "Process/Error.h"
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
    /// Interval to the next read: from the beginning of a read that does not wait, so that slow
    /// answers don't add to the age of what is known, and from the end of one that waits.
    milliseconds interval{0};
    /// Maximum backoff after failed calls. Calls are charged for, and all VMs share the store's
    /// rate limits.
    milliseconds maxBackoff{storeMaxBackoff};
    /// Hedged reads: a read without an answer for this time is sent again beside the first one, and
    /// the first answer counts. Zero for none.
    milliseconds hedgeAfter{0};
};

/// Times of a read after which all records are known that the store had when it began.
struct CompleteRead
{
    TimePoint begunAt;
    /// Begin of the latest call before it that failed, but for too many calls, or is not answered
    /// yet; the epoch if none.
    TimePoint failedCallAt;
};

/// Events of a watch.
struct WatchEvents
{
    /// A record, in the order of the log. An empty value removes the key.
    std::function<void(const platform::KeyedRecord &)> record;
    /// The newest record of each key. It replaces all records that were reported before.
    std::function<void(const std::vector<platform::KeyedRecord> &)> snapshot;
    /// The store answered a read of the topic at this time.
    std::function<void(TimePoint)> answered;
    /// All records that the store had when the read began have been reported.
    std::function<void(const CompleteRead &)> upToDate;
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
    /// One of the calls of a read that is sent several times.
    struct ReadCall
    {
        TimePoint begunAt;
        /// Whether it opened its connection; otherwise it reuses a kept one.
        bool connectionIsNew = false;
        HttpResponse response{};
        std::unique_ptr<HttpCall> call{};
    };
    using Answered = std::function<void(const HttpResponse &)>;

    void startRead();
    void readNewest();
    void readLog();
    void call(std::string request, milliseconds timeout, Answered answered);
    void sendCall(ConnectionUse use);
    void finishCall(std::size_t number);
    void addToAnswer(std::size_t number, std::string_view bytes);
    void dropFailedCall(std::size_t number, const std::string &reason);
    void applyNewest(const HttpResponse &response);
    void applyLog(const HttpResponse &response);
    void succeeded();
    void fail(const Error &error, TimePoint now);
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
    /// The calls of the current read by number, all with the same request.
    std::map<std::size_t, ReadCall> calls_;
    std::size_t lastCall_ = 0;
    std::string request_;
    Answered answered_;
    /// Begin of the current read, or of the call that answered the last one.
    TimePoint callBegunAt_;
    /// Whether the first call of the current read, or the one that answered, opened its connection.
    bool connectionIsNew_ = false;
    TimePoint callDeadline_;
    /// Begin of the latest call that failed, but for too many calls.
    TimePoint failedCallAt_;
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
