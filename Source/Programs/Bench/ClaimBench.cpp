#include "Programs/Bench/ClaimBench.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace wisteria {

namespace {

using Moment = std::chrono::duration<double>;

/// Claims of one daemon that travel in one append.
struct Batch
{
    Moment closesAt;
    std::vector<Moment> arrivals;
};

/// The daemon's window that an arrival falls into; windows of daemons are staggered.
Moment windowEnd(const ClaimRecipe &recipe, std::uint32_t daemon, Moment arrival)
{
    const Moment window = recipe.window;
    const Moment offset = window * daemon / recipe.daemons;
    const double index = std::floor((arrival + window - offset) / window);
    return offset + window * index;
}

std::vector<Batch> gatherBatches(const ClaimRecipe &recipe)
{
    std::mt19937_64 random(recipe.seed);
    std::exponential_distribution<double> gap(recipe.requestsPerSecond);
    std::uniform_int_distribution<std::uint32_t> anyDaemon(0, recipe.daemons - 1);
    std::vector<Batch> open(recipe.daemons);
    std::vector<Batch> closed;
    for (Moment at{gap(random)}; at < recipe.time; at += Moment(gap(random))) {
        const std::uint32_t daemon = anyDaemon(random);
        Batch &batch = open[daemon];
        if (!batch.arrivals.empty() && at >= batch.closesAt) {
            closed.push_back(std::move(batch));
            batch = Batch();
        }
        if (batch.arrivals.empty())
            batch.closesAt = windowEnd(recipe, daemon, at);
        batch.arrivals.push_back(at);
    }
    for (Batch &batch : open) {
        if (!batch.arrivals.empty())
            closed.push_back(std::move(batch));
    }
    std::sort(closed.begin(), closed.end(),
              [](const Batch &a, const Batch &b) { return a.closesAt < b.closesAt; });
    return closed;
}

/// When the log begins an append that could begin at the given time.
Moment afterOutage(const ClaimRecipe &recipe, Moment at)
{
    const Moment from = recipe.outageFrom;
    const Moment until = from + recipe.outage;
    return at >= from && at < until ? until : at;
}

double milli(Moment time)
{
    return time.count() * 1000;
}

} // namespace

nlohmann::json replayClaims(const ClaimRecipe &recipe)
{
    const std::vector<Batch> batches = gatherBatches(recipe);
    const Moment service{1.0 / recipe.appendsPerSecond};
    std::vector<double> delays;
    std::size_t late = 0;
    Moment logFreeAt{0};
    for (const Batch &batch : batches) {
        const Moment begin =
            afterOutage(recipe, std::max(logFreeAt, Moment(batch.closesAt + recipe.hop)));
        logFreeAt = begin + service;
        for (const Moment arrival : batch.arrivals) {
            const Moment delay = logFreeAt + recipe.hop - arrival;
            delays.push_back(milli(delay));
            late += delay > recipe.deadline ? 1 : 0;
        }
    }
    std::sort(delays.begin(), delays.end());
    const auto count = static_cast<double>(delays.size());
    return {{"window_ms", recipe.window.count()},
            {"outage_s", recipe.outage.count()},
            {"appends_wanted_per_second", batches.size() / Moment(recipe.time).count()},
            {"added_ms_p50", delays[delays.size() / 2]},
            {"added_ms_p99", delays[delays.size() * 99 / 100]},
            {"past_deadline_share", static_cast<double>(late) / count}};
}

} // namespace wisteria
