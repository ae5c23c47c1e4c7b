#include "Version/PlacementEstimate.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace wisteria {

namespace {

/// Weight of the newest forecast error in the smoothed errors.
constexpr double errorGain = 0.05;
/// A slower row is preferred as long as its error is within this factor of the least.
constexpr double toleratedError = 1.08;
/// A difference of this many standard deviations is a jump when it comes twice on one side.
constexpr double surprisingDeviations = 4.0;
/// A difference of this many standard deviations is a jump at once.
constexpr double jumpDeviations = 8.0;
/// Jumps are told from noise only once this many reports have shown how large the noise is.
constexpr std::uint32_t reportsBeforeJumps = 20;
/// Reports that an expert's estimate must rest on to be settled.
constexpr std::uint32_t reportsToSettle = 6;
/// Relative noise is taken to be at least this, so that silent traces don't make every change a
/// jump.
constexpr double minNoise = 0.01;
/// Weight of the newest interval in the usual interval.
constexpr int intervalWeight = 8;
/// Reports that a horizon spans at most.
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
                           "a load report has a load that is negative or not a number; "
                           "report tokens counted since the last report");
        }
    }
    std::vector<double> shares = report.loads;
    const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
    for (double &share : shares)
        share = sum > 0 ? share / sum : 0;
    return shares;
}

/// The slowest row whose error is about the least. Rows differ by a few per cent when there is
/// nothing but noise, so the very least is often a fast row by chance, and the next map would fit
/// the noise that row let through.
std::size_t bestRow(const LoadEstimate &estimate)
{
    const double least = *std::min_element(estimate.errors.begin(), estimate.errors.end());
    std::size_t row = 0;
    while (estimate.errors[row] > least * toleratedError)
        ++row;
    return row;
}

void begin(LoadEstimate &estimate, const std::vector<double> &shares)
{
    estimate.levels.fill(shares);
    estimate.reportsOf.assign(shares.size(), 1);
    estimate.surprise.assign(shares.size(), 0);
}

/// Gain of a row for one expert: the plain mean until it rests on enough reports, and more after a
/// gap, because the loads drifted on unseen meanwhile.
double gainFor(double gain, std::uint32_t reportsOf, double intervals)
{
    const double sinceLast = 1.0 - std::pow(1.0 - gain, intervals);
    return std::max(sinceLast, 1.0 / (reportsOf + 1.0));
}

/// Variance of a smoothed level in units of the variance of one report: that of exponential
/// smoothing in the long run, and that of the plain mean before.
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

/// Squared difference of a share from its level, relative to the level. Weighed by the levels
/// themselves, these sum up to the squared relative noise; weighed by their squares, the hottest
/// expert alone would make up most of it.
double weighedSquare(double share, double level, std::size_t experts)
{
    const double floor = minNoise / static_cast<double>(experts);
    const double difference = share - level;
    return difference * difference / (level + floor);
}

/// Whether a load has left its level for good: smoothing would take many reports to follow, and the
/// rank that holds the expert would be the straggler for all of them.
bool hasJumped(LoadEstimate &estimate, std::size_t expert, double share, double level)
{
    const double deviation = std::max(std::sqrt(estimate.noise), minNoise) * level;
    const double floor = minNoise / static_cast<double>(estimate.reportsOf.size());
    const double deviations = (share - level) / (deviation + floor);
    int sign = 0;
    if (std::abs(deviations) > surprisingDeviations)
        sign = deviations > 0 ? 1 : -1;
    const bool again = sign != 0 && sign == estimate.surprise[expert];
    estimate.surprise[expert] = sign;
    return again || std::abs(deviations) > jumpDeviations;
}

/// Lets the estimates of experts that jumped begin anew.
void findJumps(LoadEstimate &estimate, const std::vector<double> &shares)
{
    if (estimate.reports <= reportsBeforeJumps)
        return;
    const std::vector<double> &levels = estimate.levels[bestRow(estimate)];
    for (std::size_t expert = 0; expert < shares.size(); ++expert) {
        if (hasJumped(estimate, expert, shares[expert], levels[expert]))
            estimate.reportsOf[expert] = 0;
    }
}

/// Jumps are left out of the errors and of the noise: one of them would hide drift for many
/// reports.
void updateErrors(LoadEstimate &estimate, const std::vector<double> &shares)
{
    const double weight = std::max(errorGain, 1.0 / estimate.reports);
    for (std::size_t row = 0; row < smoothingGains.size(); ++row) {
        double squared = 0;
        for (std::size_t expert = 0; expert < shares.size(); ++expert) {
            if (estimate.reportsOf[expert] == 0)
                continue;
            squared += weighedSquare(shares[expert], estimate.levels[row][expert], shares.size());
        }
        estimate.errors[row] += weight * (squared - estimate.errors[row]);
    }
}

/// Noise is measured against the best row; that row's own uncertainty is taken out.
void updateNoise(LoadEstimate &estimate, const std::vector<double> &shares)
{
    const std::size_t row = bestRow(estimate);
    double squares = 0;
    double variances = 0;
    for (std::size_t expert = 0; expert < shares.size(); ++expert) {
        const std::uint32_t reports = estimate.reportsOf[expert];
        if (reports == 0)
            continue;
        const double level = estimate.levels[row][expert];
        squares += weighedSquare(shares[expert], level, shares.size());
        variances += level * (1.0 + uncertaintyOf(smoothingGains[row], reports));
    }
    if (variances <= 0)
        return;
    const double weight = std::max(errorGain, 1.0 / estimate.reports);
    estimate.noise += weight * (squares / variances - estimate.noise);
}

void updateLevels(LoadEstimate &estimate, const std::vector<double> &shares, double intervals)
{
    for (std::size_t expert = 0; expert < shares.size(); ++expert) {
        for (std::size_t row = 0; row < smoothingGains.size(); ++row) {
            const double gain = gainFor(smoothingGains[row], estimate.reportsOf[expert], intervals);
            double &smoothed = estimate.levels[row][expert];
            smoothed += gain * (shares[expert] - smoothed);
        }
        ++estimate.reportsOf[expert];
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
        begin(estimate, shares);
    } else {
        const double intervals = elapsedIntervals(estimate, report.at);
        findJumps(estimate, shares);
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
    forecast.noise = std::sqrt(estimate.noise);
    forecast.uncertainty = uncertaintyOf(gain, estimate.reports);
    const auto fewest = std::min_element(estimate.reportsOf.begin(), estimate.reportsOf.end());
    forecast.settled = *fewest >= reportsToSettle;
    // A random walk that is followed best with gain g moves by g standard deviations of the noise a
    // report, so it has moved by one of them after 1/g^2 reports.
    const double reports = std::min(maxHorizonReports, 1.0 / (gain * gain));
    const double horizon = reports * static_cast<double>(estimate.interval.count());
    forecast.horizon = milliseconds(static_cast<milliseconds::rep>(horizon));
    return forecast;
}

} // namespace wisteria
