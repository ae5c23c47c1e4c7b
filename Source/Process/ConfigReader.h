#pragma once

#include <functional>
#include <memory>

#include "Config.pb.h"
#include "Process/ConfigFollower.h"

namespace wisteria {

/// Follows the configuration on a thread of its own, since waiting for the log blocks, and hands on
/// each state.
class ConfigReader
{
public:
    using Changed = std::function<void(std::shared_ptr<const ConfigState>)>;

    /// @param log What the follower reads; interrupted when the reader stops. Outlives the reader.
    /// @param follower Outlives the reader; only the reader's thread polls it.
    /// @param changed Called on the reader's thread, first when the state is usable and then for
    /// each new version.
    ConfigReader(LogClient &log, ConfigFollower &follower, Changed changed);

    /// Stops and waits for the thread, about a second at most.
    ~ConfigReader();
    ConfigReader(const ConfigReader &) = delete;
    ConfigReader &operator=(const ConfigReader &) = delete;

    /// Offers a peer's state. Any thread may call it.
    void offer(v1::SnapshotRecord snapshot);

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
