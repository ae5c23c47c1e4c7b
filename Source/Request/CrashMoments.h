#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "Process/Time.h"
#include "Request/ServerCrash.h"

namespace wisteria {

/// Some of the known crashes.
using CrashList = std::vector<const ServerCrash *>;

/// Until this time after a crash, others of the same moment may become known: idle servers are
/// found down only when the next request is sent there.
constexpr milliseconds foundDownTime{1500};

/// Crashes of one service that happened together.
struct CrashMoment
{
    const ServerCrash *first = nullptr;
    const ServerCrash *last = nullptr;
    /// Crashes at which the suspect was in flight.
    std::uint32_t crashes = 0;
    /// When the earliest copy of the suspect in flight there was sent; nothing if it is unknown.
    std::optional<TimePoint> sentAt{};
    /// Backend servers of the service.
    std::uint32_t servers = 1;
};

/// Groups crashes that happened together.
/// @param crashes Those at which the suspect was in flight, the earliest first.
std::vector<CrashMoment> momentsOf(const CrashList &crashes, const Fingerprint &suspect);

/// Number of servers that crashed at a moment, with or without the suspect.
///
/// A crash does not belong to the moment if the suspect was sent there only after it, or the other
/// way round: a loss of power crashes no server that still takes a request afterwards. Otherwise a
/// poison request that is sent on from server to server would count as a coincidence wherever a
/// service has few servers.
/// @param known All known crashes.
std::uint32_t crashedAt(const std::vector<ServerCrash> &known, const CrashMoment &moment,
                        const Fingerprint &suspect);

/// How much a moment says about a suspect in flight there: 1 if one server crashed, 0 if all
/// servers of the service did, and between them by the logarithm of their number, which is the
/// information in the fact that the suspect was at these.
/// @param crashed See crashedAt().
double weightOf(const CrashMoment &moment, std::uint32_t crashed);

/// Leaves out the moments before which nothing else was completed since the one before. If a
/// suspect has completed earlier and nothing completes any more, something else crashes servers.
void dropWithoutProgress(std::vector<CrashMoment> &moments);

} // namespace wisteria
