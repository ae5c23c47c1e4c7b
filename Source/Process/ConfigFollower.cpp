#include "Process/ConfigFollower.h"

#include <condition_variable>
#include <mutex>

#include "Process/Logging.h"
#include "Version/ConfigReplay.h"
#include "Version/Snapshot.h"

namespace wisteria {

class ConfigFollower::Private
{
public:
    Private(LogClient &log, std::string stream) : log_(log), stream_(std::move(stream))
    {
        publish(true);
    }

    Result<bool> poll(milliseconds wait)
    {
        // Waits only if the log is known to hold no further records. The first read does not wait,
        // because an empty log would otherwise delay the start of the process.
        const bool atEnd = cursor_.endAtStart && nextOffset(cursor_) >= cursor_.end;
        auto batch = log_.read(stream_, nextOffset(cursor_), atEnd ? wait : milliseconds(0));
        if (!batch) {
            publish(false);
            return batch.as_failure();
        }
        const bool divergedBefore = cursor_.diverged;
        auto versionChanged = replayBatch(cursor_, batch.value());
        if (cursor_.diverged && !divergedBefore)
            logger_->error("a snapshot in the log differs from what replay gave; compare releases");
        publish(true);
        // A record that can't be replayed stays the next one to read, and the log returns it
        // immediately, so a caller without a delay would read it in a busy loop. The error makes
        // callers wait before they retry.
        if (versionChanged && !cursor_.blocked.empty())
            return failure(ErrorKind::Conflict, cursor_.blocked);
        return versionChanged;
    }

    bool adopt(const v1::SnapshotRecord &snapshot)
    {
        if (!adoptSnapshot(cursor_.state, snapshot))
            return false;
        cursor_.searchFrom.reset();
        cursor_.blocked.clear();
        adopted_ = true;
        publish(status().logReachable);
        return true;
    }

    std::shared_ptr<const ConfigState> state() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return published_;
    }

    FollowerStatus status() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return status_;
    }

    bool caughtUp() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return caughtUp_;
    }

    bool usable() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return everCaughtUp_ || (adoptedPublished_ && !status_.logReachable);
    }

    std::shared_ptr<const ConfigState> waitBeyond(Offset position, milliseconds limit) const
    {
        std::unique_lock<std::mutex> lock(mutex_);
        publishedChanged_.wait_for(lock, limit, [&] { return published_->position > position; });
        return published_;
    }

private:
    /// Makes the state available to other threads. A copy of the whole state takes milliseconds at
    /// thousands of objects, so it is made only if the position changed.
    void publish(bool reachable)
    {
        std::shared_ptr<const ConfigState> stateCopy;
        if (!published_ || published_->position != cursor_.state.position)
            stateCopy = std::make_shared<const ConfigState>(cursor_.state);
        const std::lock_guard<std::mutex> lock(mutex_);
        if (stateCopy)
            published_ = std::move(stateCopy);
        publishedChanged_.notify_all();
        caughtUp_ = hasCaughtUp(cursor_);
        everCaughtUp_ |= caughtUp_;
        adoptedPublished_ = adopted_;
        status_ = {cursor_.state.version, cursor_.state.position, cursor_.end,           reachable,
                   cursor_.blocked,       cursor_.diverged,       cursor_.newestSnapshot};
    }

    LogClient &log_;
    const std::string stream_;
    ReplayCursor cursor_;
    bool adopted_ = false;
    std::shared_ptr<spdlog::logger> logger_ = loggerFor("config");

    mutable std::mutex mutex_;
    mutable std::condition_variable publishedChanged_;
    std::shared_ptr<const ConfigState> published_;
    FollowerStatus status_;
    bool caughtUp_ = false;
    bool everCaughtUp_ = false;
    bool adoptedPublished_ = false;
};

ConfigFollower::ConfigFollower(LogClient &log, std::string stream)
    : private_(std::make_unique<Private>(log, std::move(stream)))
{ }

ConfigFollower::~ConfigFollower() = default;

Result<bool> ConfigFollower::poll(milliseconds wait)
{
    return private_->poll(wait);
}

bool ConfigFollower::adopt(const v1::SnapshotRecord &snapshot)
{
    return private_->adopt(snapshot);
}

std::shared_ptr<const ConfigState> ConfigFollower::state() const
{
    return private_->state();
}

bool ConfigFollower::caughtUp() const
{
    return private_->caughtUp();
}

bool ConfigFollower::usable() const
{
    return private_->usable();
}

FollowerStatus ConfigFollower::status() const
{
    return private_->status();
}

std::shared_ptr<const ConfigState> ConfigFollower::waitBeyond(Offset position,
                                                              milliseconds limit) const
{
    return private_->waitBeyond(position, limit);
}

} // namespace wisteria
