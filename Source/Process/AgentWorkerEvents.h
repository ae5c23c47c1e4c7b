#pragma once

#include <functional>

#include "Config.pb.h"
#include "Peer.pb.h"

namespace wisteria {

/// Events that the worker reports to the control loop; called on the worker's thread.
struct AgentWorkerEvents
{
    /// A peer sent a newer configuration than the agent's.
    std::function<void(v1::SnapshotRecord)> snapshotOffered;
};

} // namespace wisteria
