#pragma once

#include <cstdint>
#include <optional>

#include "Process/Time.h"
#include "Request/TokenBucket.h"

namespace wisteria {

/// Decides whether a gateway takes new connections, by how long its event loop takes to get to an
/// event that is ready. A value type without I/O.
///
/// A load balancer before the gateways may hand most new connections to one of them. If it accepted
/// all of them, each request would be read and answered late, those on open connections too. A
/// connection that is refused or closed unread costs its caller a round trip, and the next one
/// meets another gateway.
///
/// After an overload, connections are taken at a limited rate that grows step by step and is cut
/// when the loop is late again. Otherwise all that come in the moment after an overload would be
/// taken, more than can be answered in time, and the next overload would follow.
struct AcceptControl
{
    /// Whether connections have come since the last check.
    bool arrived = false;
    /// When the measurement under way began; TimePoint() if there is none.
    TimePoint measuredSince{};
    bool overloaded = false;
    /// Connections closed unread since the overload began.
    std::uint64_t turnedAway = 0;
    /// Connections taken and all that were seen, decayed with the time constant `acceptRateDecay`.
    double recentlyTaken = 0;
    double recentlyArrived = 0;
    TimePoint decayedAt{};
    /// Limits the rate of connections; nothing if all are taken.
    std::optional<TokenBucket> limit;
    TimePoint limitChangedAt{};
};

/// Delays of an event from which new connections are turned away, and below which they are taken
/// again. A request takes six or more events, and callers give up one that is not answered within
/// about a second.
constexpr milliseconds overloadDelay{80};
constexpr milliseconds recoveredDelay{50};
/// Time constant of the rates of connections.
constexpr milliseconds acceptRateDecay{1000};
/// Factors by which the limit is cut at each overload, and grows in each `limitStepTime` without.
constexpr double limitCut = 0.5;
constexpr double limitGrowth = 1.1;
constexpr milliseconds limitStepTime{500};
/// Lowest limit in connections a second, and least rate at which connections may be the reason for
/// an overload.
constexpr double minLimitPerSecond = 20;

/// Whether a measurement should begin: connections have come since the last check, or their rate is
/// limited. Call it periodically.
bool shouldMeasure(AcceptControl &control);

/// Records that a measurement begins: an event was made ready.
void beginMeasurement(AcceptControl &control, TimePoint now);

/// Records that the loop has got to the event, and adapts the limit.
/// @return Whether `overloaded` has changed.
bool endMeasurement(AcceptControl &control, TimePoint now);

/// Whether new connections should be accepted. While not, the kernel refuses them.
/// @param listening Whether they are accepted so far.
bool shouldListen(AcceptControl &control, bool listening, TimePoint now);

/// Decides on a new connection.
/// @return Whether it is to be taken.
bool admitConnection(AcceptControl &control, TimePoint now);

} // namespace wisteria
