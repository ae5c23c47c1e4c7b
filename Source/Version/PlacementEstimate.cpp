#include "Version/PlacementEstimate.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace wisteria {

namespace {

/// Weight of the newest forecast error in the smoothed errors.
constexpr double errorGain = 0.05;
/// A row with a lower gain is preferred while its error is within this factor of the minimum.
constexpr double errorTolerance = 1.08;
/// Two consecutive differences of more standard deviations than this, with the same sign, are a
/// jump.
constexpr double outlierDeviations = 4.0;
/// A single difference of more standard deviations than this is a jump.
constexpr double jumpDeviations = 8.0;
/// Number of reports that estimate the noise before jumps are detected.
constexpr std::uint32_t reportsBeforeJumps = 20;
/// Minimum number of reports in an expert's estimate for it to be settled.
constexpr std::uint32_t reportsToSettle = 6;
/// Lower bound of the relative noise, so that without noise not every change is a jump.
constexpr double minNoise = 0.01;
/// The newest interval has 1/intervalWeight of the weight in the smoothed interval.
constexpr int intervalWeight = 8;
/// Maximum horizon in report intervals.
constexpr double maxHorizonReports = 400;

Result<std::vector<double>> sharesOf(const LoadReport &report, std::uint32_t experts)
{
    if (report.loads.size() != experts) {
        return failure(ErrorKind::BadInput,
                       "a load report has " + std::to_string(report.loads.size())
                           + " loads, but the layer has " + std::to_string(experts)
                           + " experts; report one number for each");
    }
    for (const double load : report.loads) {
        if (!std::isfinite(load) || load < 0) {
            return failure(ErrorKind::BadInput,
                           "a load report has a load that is negative or not finite; "
                           "report tokens counted since the last report");
        }
    }
    std::vector<double> shares = report.loads;
    const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
    for (double &share : shares)
        share = sum > 0 ? share / sum : 0;
    return shares;
}

/// Returns the row with the lowest gain whose error is close to the minimum. With noise alone, the
/// errors differ by a few per cent, so the minimum is often a row with a high gain by chance, and
/// the next map would fit the noise that this row lets through.
std::size_t bestRow(const LoadEstimate &estimate)
{
    const double minError = *std::min_element(estimate.errors.begin(), estimate.errors.end());
    std::size_t row = 0;
    while (estimate.errors[row] > minError * errorTolerance)
        ++row;
    return row;
}

void initializeEstimate(LoadEstimate &estimate, const std::vector<double> &shares)
{
    estimate.levels.fill(shares);
    estimate.reportsPerExpert.assign(shares.size(), 1);
    estimate.lastOutlierSigns.assign(shares.size(), 0);
}

/// Returns the gain of a row for one expert: that of the plain mean until enough reports are
/// included, and more after a gap in the reports, because the loads kept drifting meanwhile.
double gainFor(double gain, std::uint32_t reports, double intervals)
{
    const double sinceLast = 1.0 - std::pow(1.0 - gain, intervals);
    return std::max(sinceLast, 1.0 / (reports + 1.0));
}

/// Returns the variance of a smoothed level in units of the variance of one report: that of the
/// plain mean at first, and that of exponential smoothing in the long run.
double uncertaintyOf(double gain, std::uint32_t reports)
{
    return std::max(gain / (2.0 - gain), 1.0 / reports);
}

double elapsedIntervals(const LoadEstimate &estimate, TimePoint at)
{
    if (estimate.interval.count() == 0)
        return 1.0;
    const std::chrono::duration<double, std::milli> elapsed = at - estimate.at;
    return std::max(1.0, elapsed.count() / static_cast<double>(estimate.interval.count()));
}

/// Returns the squared difference of a share from its level, divided by the level. These values sum
/// up to the squared relative noise. Without the division, the most loaded expert would dominate
/// the sum.
double weightedSquare(double share, double level, std::size_t experts)
{
    const double floor = minNoise / static_cast<double>(experts);
    const double difference = share - level;
    return difference * difference / (level + floor);
}

/// Returns whether a load has jumped to another level. Smoothing would take many reports to follow,
/// and the rank that holds the expert would be the straggler meanwhile.
bool hasJumped(LoadEstimate &estimate, std::size_t expert, double share, double level)
{
    const double deviation = std::max(std::sqrt(estimate.noiseVariance), minNoise) * level;
    const double floor = minNoise / static_cast<double>(estimate.reportsPerExpert.size());
    const double deviations = (share - level) / (deviation + floor);
    int sign = 0;
    if (std::abs(deviations) > outlierDeviations)
        sign = deviations > 0 ? 1 : -1;
    const bool again = sign != 0 && sign == estimate.lastOutlierSigns[expert];
    estimate.lastOutlierSigns[expert] = sign;
    return again || std::abs(deviations) > jumpDeviations;
}

/// Restarts the estimates of experts whose load jumped.
void resetJumpedExperts(LoadEstimate &estimate, const std::vector<double> &shares)
{
    if (estimate.reports <= reportsBeforeJumps)
        return;
    const std::vector<double> &levels = estimate.levels[bestRow(estimate)];
    for (std::size_t expert = 0; expert < shares.size(); ++expert) {
        if (hasJumped(estimate, expert, shares[expert], levels[expert]))
            estimate.reportsPerExpert[expert] = 0;
    }
}

/// Updates the errors of all rows. Jumps are excluded from the errors and the noise: a single one
/// would hide drift for many reports.
void updateErrors(LoadEstimate &estimate, const std::vector<double> &shares)
{
    const double weight = std::max(errorGain, 1.0 / estimate.reports);
    for (std::size_t row = 0; row < smoothingGains.size(); ++row) {
        double squared = 0;
        for (std::size_t expert = 0; expert < shares.size(); ++expert) {
            if (estimate.reportsPerExpert[expert] == 0)
                continue;
            squared += weightedSquare(shares[expert], estimate.levels[row][expert], shares.size());
        }
        estimate.errors[row] += weight * (squared - estimate.errors[row]);
    }
}

/// Updates the noise from the difference to the best row, corrected for that row's uncertainty.
void updateNoise(LoadEstimate &estimate, const std::vector<double> &shares)
{
    const std::size_t row = bestRow(estimate);
    double squares = 0;
    double variances = 0;
    for (std::size_t expert = 0; expert < shares.size(); ++expert) {
        const std::uint32_t reports = estimate.reportsPerExpert[expert];
        if (reports == 0)
            continue;
        const double level = estimate.levels[row][expert];
        squares += weightedSquare(shares[expert], level, shares.size());
        variances += level * (1.0 + uncertaintyOf(smoothingGains[row], reports));
    }
    if (variances <= 0)
        return;
    const double weight = std::max(errorGain, 1.0 / estimate.reports);
    estimate.noiseVariance += weight * (squares / variances - estimate.noiseVariance);
}

void updateLevels(LoadEstimate &estimate, const std::vector<double> &shares, double intervals)
{
    for (std::size_t expert = 0; expert < shares.size(); ++expert) {
        for (std::size_t row = 0; row < smoothingGains.size(); ++row) {
            const double gain =
                gainFor(smoothingGains[row], estimate.reportsPerExpert[expert], intervals);
            double &smoothed = estimate.levels[row][expert];
            smoothed += gain * (shares[expert] - smoothed);
        }
        ++estimate.reportsPerExpert[expert];
    }
}

void updateInterval(LoadEstimate &estimate, TimePoint at)
{
    const auto elapsed = std::chrono::duration_cast<milliseconds>(at - estimate.at);
    if (estimate.interval.count() == 0)
        estimate.interval = elapsed;
    else
        estimate.interval += (elapsed - estimate.interval) / intervalWeight;
}

} // namespace

Result<void> observeLoads(LoadEstimate &estimate, const LoadReport &report, std::uint32_t experts)
{
    BOOST_OUTCOME_TRY(shares, sharesOf(report, experts));
    const bool empty = std::all_of(shares.begin(), shares.end(), [](double s) { return s == 0; });
    const bool stale = estimate.reports > 0 && report.at <= estimate.at;
    if (empty || stale)
        return boost::outcome_v2::success();
    if (estimate.reports == 0) {
        initializeEstimate(estimate, shares);
    } else {
        const double intervals = elapsedIntervals(estimate, report.at);
        resetJumpedExperts(estimate, shares);
        updateErrors(estimate, shares);
        updateNoise(estimate, shares);
        updateLevels(estimate, shares, intervals);
        updateInterval(estimate, report.at);
    }
    ++estimate.reports;
    estimate.at = report.at;
    return boost::outcome_v2::success();
}

LoadForecast forecastLoads(const LoadEstimate &estimate)
{
    LoadForecast forecast;
    if (estimate.reports == 0)
        return forecast;
    const std::size_t row = bestRow(estimate);
    const double gain = std::max(smoothingGains[row], 1.0 / estimate.reports);
    forecast.shares = estimate.levels[row];
    forecast.noise = std::sqrt(estimate.noiseVariance);
    forecast.uncertainty = uncertaintyOf(gain, estimate.reports);
    const auto fewest =
        std::min_element(estimate.reportsPerExpert.begin(), estimate.reportsPerExpert.end());
    forecast.settled = *fewest >= reportsToSettle;
    // A random walk that gain g tracks best moves by g standard deviations of the noise per report,
    // so it takes 1/g^2 reports to move by one standard deviation.
    const double reports = std::min(maxHorizonReports, 1.0 / (gain * gain));
    const double horizon = reports * static_cast<double>(estimate.interval.count());
    forecast.horizon = milliseconds(static_cast<milliseconds::rep>(horizon));
    return forecast;
}

} // namespace wisteria
