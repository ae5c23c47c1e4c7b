#pragma once

#include <cstdint>
#include <string>

#include "Process/Error.h"
#include "Programs/Bench/LoadTrace.h"

namespace wisteria {

/// What happens to the loads over a trace.
enum class TraceKind {
    DailyDrift, ///< Each expert's popularity swings once a day, each with a phase of its own.
    HotExpert, ///< A cold expert of each layer is hot at once, from a third to two thirds.
    CatalogueChange, ///< Half of the experts change their popularity half-way.
    Noise, ///< Nothing but noise.
    SlowRank, ///< One rank is slow from a third of the trace on.
};

/// Everything that a generated trace depends on.
struct TraceRecipe
{
    TraceKind kind = TraceKind::DailyDrift;
    RankGroup group;
    std::uint64_t seed = 1;
    /// Reports of each layer, and the time between two.
    std::uint32_t reports = 1440;
    milliseconds interval{60000};
    /// Exponent of the Zipf-like popularity of the experts.
    double zipfExponent = 0.8;
    /// Standard deviation of a report's noise, relative to the load.
    double noise = 0.08;
};

/// The kind of that name, such as "daily-drift".
/// @return BadInput that lists the names.
Result<TraceKind> traceKindFromName(const std::string &name);

/// Generates a trace. Deterministic in the recipe.
LoadTrace generateTrace(const TraceRecipe &recipe);

} // namespace wisteria
