#pragma once

#include <istream>
#include <ostream>
#include <string>
#include <vector>

#include "Process/Error.h"
#include "Process/Time.h"
#include "Version/ExpertMap.h"

namespace wisteria {

/// Loads of one layer, carried from `at` until the layer's next line.
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

/// A rank group and its loads over time. Lines are in the order of time.
struct LoadTrace
{
    RankGroup group;
    /// What the trace was generated with, for people; empty when unknown.
    std::string recipe;
    std::vector<TraceLine> lines;
};

/// Reads a trace: JSON lines, of which the first describes the group.
/// @param name What messages call the trace, usually its file name.
/// @return BadInput that gives the line, what was expected and the remedy.
Result<LoadTrace> readTrace(std::istream &in, const std::string &name);

/// Writes a trace as readTrace() reads it.
void writeTrace(std::ostream &out, const LoadTrace &trace);

} // namespace wisteria
