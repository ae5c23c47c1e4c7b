#pragma once

#include <memory>
#include <string>

#include "Connection/LogClient.h"
#include "Version/ConfigState.h"

namespace wisteria {

/// Name of the log's stream that holds the configuration.
inline constexpr const char *configStream = "config";

/// What a follower knows about itself, for status and metrics.
struct FollowerStatus
{
    Offset version = 0;
    Offset position = 0;
    /// One past the log's newest record as last heard.
    Offset logEnd = 1;
    bool logReachable = false;
    /// Why it can't go on, and the remedy; empty while it can.
    std::string blocked;
    /// Whether a snapshot in the log differed from what replay gave here.
    bool diverged = false;
    /// `as_of` of the newest snapshot in the log; 0 for none.
    Offset newestSnapshot = 0;
};

/// Follows the configuration stream. poll() and adopt() belong to the control thread; the other
/// calls may come from any thread.
class ConfigFollower
{
public:
    /// @param log Outlives the follower; used by poll() alone.
    explicit ConfigFollower(LogClient &log, std::string stream = configStream);
    ~ConfigFollower();

    /// Reads once, waiting up to `wait` for a new record, and replays what came.
    /// @return Whether the version moved; as LogClient::read() when the log gives no answer;
    /// Conflict when it answers but can't be followed, see FollowerStatus::blocked. The state then
    /// stays.
    Result<bool> poll(milliseconds wait);

    /// Takes a peer's state, for when the log does not answer or has dropped needed records. Moves
    /// forward only.
    /// @return Whether the state moved.
    bool adopt(const v1::SnapshotRecord &snapshot);

    /// The state as of the last poll; never null, never older than one returned before.
    std::shared_ptr<const ConfigState> state() const;

    /// Whether everything that stood in the log at the first read has been replayed.
    bool caughtUp() const;

    /// Whether there is a state to serve with: caught up with the log once, or taken from a peer
    /// while the log did not answer. A process that was caught up goes on with what it has, also
    /// when it can't follow the log any more; status() says so.
    bool usable() const;

    FollowerStatus status() const;

    /// Waits until the log was replayed beyond a position, at most for `limit`.
    /// @return The state as of then, moved or not.
    std::shared_ptr<const ConfigState> waitBeyond(Offset position, milliseconds limit) const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
