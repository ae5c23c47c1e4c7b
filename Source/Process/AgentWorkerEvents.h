#pragma once

#include <functional>

#include "Config.pb.h"
#include "Peer.pb.h"

namespace wisteria {

/// What the worker tells the control thread; called on the worker's thread.
struct AgentWorkerEvents
{
    /// A peer has a newer configuration than the agent.
    std::function<void(v1::SnapshotRecord)> snapshotOffered;
};

} // namespace wisteria
