#pragma once

#include <functional>
#include <memory>

#include "Config.pb.h"
#include "Process/ConfigFollower.h"

namespace wisteria {

/// Follows the configuration on a separate thread, since waiting for the log blocks. After each
/// poll that changed the version, it passes the newest state to a callback.
class ConfigReader
{
public:
    using Changed = std::function<void(std::shared_ptr<const ConfigState>)>;

    /// @param log Log client of the follower; interrupted when the reader stops. Must outlive the
    /// reader.
    /// @param follower Must outlive the reader; only the reader's thread polls it.
    /// @param changed Called on the reader's thread, first when the state becomes usable and then
    /// after each poll that changed the version.
    ConfigReader(LogClient &log, ConfigFollower &follower, Changed changed);

    /// Stops the thread and waits for it, about a second at most.
    ~ConfigReader();
    ConfigReader(const ConfigReader &) = delete;
    ConfigReader &operator=(const ConfigReader &) = delete;

    /// Offers a peer's state, which is adopted after the current poll if it is newer. Thread-safe.
    void offer(v1::SnapshotRecord snapshot);

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
