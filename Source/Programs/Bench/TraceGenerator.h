#pragma once

#include <cstdint>
#include <string>

#include "Process/Error.h"
#include "Programs/Bench/LoadTrace.h"

namespace wisteria {

/// How the loads change over a trace. All kinds have noise and a daily cycle of the volume.
enum class TraceKind {
    DailyDrift, ///< Each expert's popularity follows a daily cycle with a random phase.
    HotExpert, ///< One cold expert of each layer is hot in the middle third of the trace.
    CatalogueChange, ///< Half of the experts exchange popularities in the middle of the trace.
    Noise, ///< Constant popularity.
    SlowRank, ///< One rank is slow after the first third of the trace.
};

/// All parameters of a generated trace.
struct TraceRecipe
{
    TraceKind kind = TraceKind::DailyDrift;
    RankGroup group;
    std::uint64_t seed = 1;
    /// Number of reports of each layer, and the time between two reports.
    std::uint32_t reports = 1440;
    milliseconds interval{60000};
    /// Exponent of the Zipf-like popularity of the experts.
    double zipfExponent = 0.8;
    /// Standard deviation of a report's noise, relative to the load.
    double noise = 0.08;
};

/// Parses the name of a kind, such as "daily-drift".
/// @return BadInput that lists the known names when the name is unknown.
Result<TraceKind> traceKindFromName(const std::string &name);

/// Generates a trace. Equal recipes give equal traces.
LoadTrace generateTrace(const TraceRecipe &recipe);

} // namespace wisteria
