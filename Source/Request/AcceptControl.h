#pragma once

#include <cstdint>

#include "Process/Time.h"

namespace wisteria {

/// Decides whether a gateway takes new connections, by how long its event loop takes to get to an
/// event that is ready. A value type without I/O.
///
/// A load balancer before the gateways may hand most new connections to one of them. If it accepted
/// all of them, each request would be read and answered late, those on open connections too. A
/// connection that is closed unread costs its caller a round trip, and the next one meets another
/// gateway.
struct AcceptControl
{
    /// Connections since the last check.
    std::uint32_t accepted = 0;
    /// When the measurement under way began; TimePoint() if there is none.
    TimePoint measuredSince{};
    bool overloaded = false;
    /// Connections closed unread since the overload began.
    std::uint64_t turnedAway = 0;
};

/// Delays of an event from which new connections are turned away, and below which they are taken
/// again. Callers give up a request that is not read within a fraction of a second to a second.
constexpr milliseconds overloadDelay{150};
constexpr milliseconds recoveredDelay{50};
/// New connections between two checks from which the delay is measured: a measurement costs two
/// system calls.
constexpr std::uint32_t minAcceptedToMeasure = 3;

/// Whether a measurement should begin: many connections have come since the last check, or the
/// gateway is overloaded. Call it periodically.
bool shouldMeasure(AcceptControl &control);

/// Records that a measurement begins: an event was made ready.
void beginMeasurement(AcceptControl &control, TimePoint now);

/// Records that the loop has got to the event.
/// @return Whether `overloaded` has changed.
bool endMeasurement(AcceptControl &control, TimePoint now);

/// Decides on a new connection.
/// @return Whether it is to be taken.
bool admitConnection(AcceptControl &control, TimePoint now);

} // namespace wisteria
