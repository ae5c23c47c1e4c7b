#pragma once

#include "Process/Error.h"
#include "Process/Time.h"
// Orders and statuses are plain data of the map switch's decisions.
#include "Version/MapSwitchActions.h"

namespace wisteria {

/// The engine of one rank, as narrow as the map switch needs it. Calls block; one thread at a time.
class RankClient
{
public:
    virtual ~RankClient() = default;

    /// Gives an order, once; it is never silently sent again.
    /// @return The engine's status after the order, whether or not it obeyed; Unavailable when the
    /// engine surely did not see it; OutcomeUnknown when the answer was lost or late.
    virtual Result<EngineStatus> give(const EngineOrder &order, milliseconds timeout) = 0;

    /// Makes the present and every later call end soon, for shutdown. Any thread may call it.
    virtual void interrupt() { }
};

} // namespace wisteria
