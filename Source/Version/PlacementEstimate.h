#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "Process/Error.h"
#include "Process/Time.h"
#include "Version/ExpertMap.h"

namespace wisteria {

/// Gains of exponential smoothing that the estimator compares.
inline constexpr std::array<double, 6> smoothingGains = {0.02, 0.05, 0.1, 0.2, 0.4, 0.8};

/// Tokens of each expert of one layer, counted since the layer's previous report. Not an engine's
/// load as gateways receive it, see EngineLoad.
struct LoadReport
{
    /// Time at which the loads were measured, not at which the report arrived.
    TimePoint at;
    std::uint32_t layer = 0;
    std::vector<double> loads;
};

/// Estimate of one layer's loads. Loads are stored as shares of the layer's tokens, so that a
/// change of the total volume does not look like drift.
struct LoadEstimate
{
    /// Exponentially smoothed shares, one row per gain.
    std::array<std::vector<double>, smoothingGains.size()> levels;
    /// Smoothed squared error of each row's forecast of the next report.
    std::array<double, smoothingGains.size()> errors{};
    /// Number of reports in each expert's estimate; restarts at 1 when its load jumps.
    std::vector<std::uint32_t> reportsPerExpert;
    /// Sign of each expert's difference in the last report if it was an outlier, otherwise 0.
    std::vector<int> lastOutlierSigns;
    /// Variance of the noise of a report, in units of the squared load.
    double noiseVariance = 0;
    std::uint32_t reports = 0;
    TimePoint at;
    /// Smoothed time between two reports.
    milliseconds interval{0};
};

/// Expected loads of one layer, for decisions.
struct LoadForecast
{
    /// Expected share of each expert.
    std::vector<double> shares;
    /// Standard deviation of one report's noise, relative to an expert's load.
    double noise = 0;
    /// Variance of the estimate in units of the variance of one report.
    double uncertainty = 1;
    /// Whether every expert's estimate includes several reports; false after a jump.
    bool settled = false;
    /// Expected time until the loads have drifted by one standard deviation of a report's noise.
    milliseconds horizon{0};
};

/// Adds a report to the estimate. Reports may be missing in between. A report that is not newer
/// than the last one, or that has no load, is ignored.
/// @return BadInput for a report with the wrong number of loads, or with one that is negative or
/// not finite.
Result<void> observeLoads(LoadEstimate &estimate, const LoadReport &report, std::uint32_t experts);

/// Returns the forecast of the smoothing gain that predicted the recent reports best.
LoadForecast forecastLoads(const LoadEstimate &estimate);

} // namespace wisteria
