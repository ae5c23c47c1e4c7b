#include "Process/ConfigReader.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "Process/Logging.h"
#include "Process/Time.h"

namespace wisteria {

namespace {

/// How long the log holds a read open while there are no new records. It is long so that thousands
/// of idle processes send the log only a few hundred reads per second.
constexpr milliseconds logWait(5000);
/// Delay after a failed poll.
constexpr milliseconds retryDelay(200);

} // namespace

class ConfigReader::Private
{
public:
    Private(LogClient &log, ConfigFollower &follower, Changed changed)
        : log_(log), follower_(follower), changed_(std::move(changed)), thread_([this] { run(); })
    { }

    ~Private()
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            stopping_ = true;
        }
        log_.interrupt();
        wake_.notify_all();
        thread_.join();
    }

    void offer(v1::SnapshotRecord snapshot)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        // Only the last offer is kept, so memory stays bounded.
        offered_ = std::move(snapshot);
        wake_.notify_all();
    }

private:
    void run()
    {
        while (!stopping()) {
            const auto versionChanged = follower_.poll(logWait);
            noteReachable(follower_.status().logReachable);
            if (const auto snapshot = takeOffer())
                follower_.adopt(*snapshot);
            publishState();
            if (versionChanged.has_error())
                waitBeforeRetry();
        }
    }

    void publishState()
    {
        if (!follower_.usable())
            return;
        auto state = follower_.state();
        if (publishedVersion_ && *publishedVersion_ == state->version)
            return;
        publishedVersion_ = state->version;
        loggerFor("config")->info("Version {} is in force.", state->version);
        changed_(std::move(state));
    }

    void noteReachable(bool reachable)
    {
        if (reachable == reachable_)
            return;
        reachable_ = reachable;
        if (reachable)
            loggerFor("config")->info("The log answers.");
        else
            loggerFor("config")->warn("The log does not answer; the present version stays.");
    }

    bool stopping()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return stopping_;
    }

    std::optional<v1::SnapshotRecord> takeOffer()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return std::exchange(offered_, std::nullopt);
    }

    void waitBeforeRetry()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        wake_.wait_for(lock, retryDelay, [this] { return stopping_ || offered_.has_value(); });
    }

    LogClient &log_;
    ConfigFollower &follower_;
    Changed changed_;
    bool reachable_ = true;
    std::optional<Offset> publishedVersion_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::optional<v1::SnapshotRecord> offered_;
    std::thread thread_;
};

ConfigReader::ConfigReader(LogClient &log, ConfigFollower &follower, Changed changed)
    : private_(std::make_unique<Private>(log, follower, std::move(changed)))
{ }

ConfigReader::~ConfigReader() = default;

void ConfigReader::offer(v1::SnapshotRecord snapshot)
{
    private_->offer(std::move(snapshot));
}

} // namespace wisteria
