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
    /// Another agent of the rank group sent a message; may be empty where there is no group.
    std::function<void(v1::GroupMessage)> groupMessage = {};
};

} // namespace wisteria
