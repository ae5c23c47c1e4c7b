#pragma once

#include <condition_variable>
#include <mutex>
#include <vector>

#include "Connection/LogClient.h"

namespace wisteria::test {

/// Log in memory that any number of threads share, with outages and expired records set by tests.
class MemoryLogClient : public LogClient
{
public:
    Result<Offset> append(const std::string &, const std::string &data, milliseconds) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (down_)
            return failure(ErrorKind::Unavailable, "the log is down; nothing was written");
        records_.push_back({records_.size() + 1, data});
        changed_.notify_all();
        return records_.back().offset;
    }

    Result<LogBatch> read(const std::string &, Offset from, milliseconds wait) override
    {
        std::unique_lock<std::mutex> lock(mutex_);
        changed_.wait_for(lock, wait, [&] { return down_ || from <= records_.size(); });
        if (down_)
            return failure(ErrorKind::Unavailable, "the log is down; the state stays");
        LogBatch batch{{}, first_, records_.size() + 1};
        for (Offset at = std::max(from, first_); at <= records_.size(); ++at)
            batch.records.push_back(records_[at - 1]);
        return batch;
    }

    void setDown(bool down)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        down_ = down;
        changed_.notify_all();
    }

    /// Expires the records before an offset.
    void dropBefore(Offset first)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        first_ = first;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<LogRecord> records_;
    Offset first_ = 1;
    bool down_ = false;
};

} // namespace wisteria::test
