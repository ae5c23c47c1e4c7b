#pragma once

#include <istream>
#include <ostream>
#include <string>
#include <vector>

#include "Process/Error.h"
#include "Process/Time.h"
#include "Version/ExpertMap.h"

namespace wisteria {

/// Load of each expert of one layer from `at` until the layer's next line.
struct TraceLine
{
    milliseconds at{0};
    std::uint32_t layer = 0;
    std::vector<double> loads;
    /// The loads without noise, where the trace gives them.
    std::vector<double> expected;
    /// New speeds of the ranks from this line on; empty when they don't change.
    std::vector<double> rankSpeeds;
};

/// A rank group and its loads over time. The lines are sorted by time.
struct LoadTrace
{
    RankGroup group;
    /// Readable description of how the trace was generated; empty when unknown.
    std::string recipe;
    std::vector<TraceLine> lines;
};

/// Reads a trace: JSON lines, of which the first describes the group.
/// @param name Name of the trace in error messages, usually its file name.
/// @return BadInput with the line, what was expected and a remedy.
Result<LoadTrace> readTrace(std::istream &in, const std::string &name);

/// Writes a trace in the format that readTrace() reads.
void writeTrace(std::ostream &out, const LoadTrace &trace);

} // namespace wisteria
