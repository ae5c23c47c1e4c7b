#pragma once

#include "Process/Time.h"
#include "Request/BackendRegistry.h"
#include "Version/ServiceConfiguration.h"

namespace wisteria {

/// Why a request is taken off a backend server that has not failed it.
enum class MoveCause {
    None, ///< It stays there.
    Slow, ///< The server is much slower than usual; see moveAtSlowdown.
    Silent, ///< The server has stopped working; see ServerSilence.
};

/// Returns the name of a cause for log lines.
const char *nameOf(MoveCause cause);

/// Returns why a request should leave its backend server.
///
/// A stream leaves a slow server because all others there wait for it. Any request that may run
/// again leaves a silent one: on a frozen VM it would wait until its caller leaves, and run for
/// nobody when the VM wakes.
MoveCause moveCauseOf(const BackendState &server, const RouteRule &route, TimePoint now,
                      milliseconds loadLifetime);

/// Returns whether a server is a better place for a request that leaves another one.
bool isMoveTarget(const BackendState &server, TimePoint now, milliseconds loadLifetime);

} // namespace wisteria
