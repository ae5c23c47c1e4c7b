#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "Process/Error.h"
#include "Process/Time.h"
#include "Version/ExpertMap.h"

namespace wisteria {

/// Smoothing gains that the estimator weighs against each other.
inline constexpr std::array<double, 6> smoothingGains = {0.02, 0.05, 0.1, 0.2, 0.4, 0.8};

/// Tokens of each expert of one layer, counted since the layer's report before.
struct LoadReport
{
    /// When the loads were measured, not when the report arrived.
    TimePoint at;
    std::uint32_t layer = 0;
    std::vector<double> loads;
};

/// What is known of one layer's loads. Loads are kept as shares of the layer's tokens, so that the
/// hour's total volume does not look like drift.
struct LoadEstimate
{
    /// Exponentially smoothed shares, one row a gain.
    std::array<std::vector<double>, smoothingGains.size()> levels;
    /// Smoothed squared error of each row's forecasts of the next report.
    std::array<double, smoothingGains.size()> errors{};
    /// Reports that each expert's estimate rests on; falls back to 1 when its load jumps.
    std::vector<std::uint32_t> reportsOf;
    /// Sign of the last surprising difference of each expert; 0 when there was none.
    std::vector<int> surprise;
    /// Squared noise of a report, relative to the load.
    double noise = 0;
    std::uint32_t reports = 0;
    TimePoint at;
    /// Usual time between two reports.
    milliseconds interval{0};
};

/// The estimate that decisions use.
struct LoadForecast
{
    /// Expected share of each expert.
    std::vector<double> shares;
    /// Standard deviation of one report's noise, relative to an expert's load.
    double noise = 0;
    /// Variance of the estimate in units of the variance of one report.
    double uncertainty = 1;
    /// Whether every expert's estimate rests on several reports; false after a jump.
    bool settled = false;
    /// Time that the loads' drift leaves before it has moved them as far as one report's noise.
    milliseconds horizon{0};
};

/// Takes a report into the estimate. Reports may skip times; one that is no newer than the last is
/// ignored, and one without any load says nothing.
/// @return BadInput for a report with the wrong number of loads, or with one that is negative or
/// not a number.
Result<void> observeLoads(LoadEstimate &estimate, const LoadReport &report, std::uint32_t experts);

/// The forecast of the gain that foretold the recent reports best.
LoadForecast forecastLoads(const LoadEstimate &estimate);

} // namespace wisteria
