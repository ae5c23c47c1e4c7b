#include "Programs/Bench/PlacementReplay.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "Programs/Bench/SkewMeter.h"
#include "Version/PlacementGreedy.h"
#include "Version/PlacementSearch.h"
#include "Version/PlacementStaging.h"
#include "Version/SkewLowerBound.h"

namespace wisteria {

namespace {

constexpr std::size_t seriesBuckets = 144;

/// A decision whose weights are being staged.
struct PendingSwitch
{
    milliseconds at{0};
    PlacementDecision decision;
};

/// Searches the best map for known loads, regardless of the cost of a change. It improves a greedy
/// map and the previous best map until no move gains, and keeps the better one.
class FloorSearch
{
public:
    explicit FloorSearch(const RankGroup &group) : maps_(group.layers) { }

    const LayerMap &best(const RankGroup &group, std::uint32_t layer,
                         const std::vector<double> &loads)
    {
        SearchProblem problem;
        problem.loads = loads;
        SearchLimits limits;
        limits.maxMoves = static_cast<std::uint32_t>(group.ranks.size()) * group.experts;
        limits.minGainPerReplica = 1e-6;
        SearchBudget budget;
        const LayerMap greedy = greedyLayerMap(group, loads);
        LayerMap best = improveLayerMap(group, greedy, greedy, problem, limits, budget).map;
        if (!maps_[layer].ranks.empty()) {
            const LayerMap &last = maps_[layer];
            LayerMap improved = improveLayerMap(group, last, last, problem, limits, budget).map;
            if (layerSkew(group, improved, loads) < layerSkew(group, best, loads))
                best = std::move(improved);
        }
        maps_[layer] = std::move(best);
        return maps_[layer];
    }

private:
    std::vector<LayerMap> maps_;
};

class Replay
{
public:
    Replay(const LoadTrace &trace, const ReplayOptions &options);

    Result<ReplayResult> run();

private:
    using Reports = std::multimap<milliseconds, const TraceLine *>;

    void scheduleReports();
    std::optional<milliseconds> nextTime() const;
    void finishSwitch(milliseconds now);
    void applyLine(const TraceLine &line);
    void measureReferenceSkews(const TraceLine &line);
    Result<void> addReports(milliseconds now);
    Result<void> decide(milliseconds now);
    Result<void> stage(milliseconds now, PlacementDecision decision);
    void remeasure(std::uint32_t layer, milliseconds now);
    void reportMapInForce(milliseconds now, std::uint32_t layer);
    ReplayResult result();
    microseconds decidePercentile(double fraction);

    const LoadTrace &trace_;
    const ReplayOptions &options_;
    /// The group with its actual rank speeds.
    RankGroup group_;
    /// The group with the rank speeds reported so far.
    RankGroup knownGroup_;
    milliseconds begin_;
    milliseconds end_;
    PlacementState state_;
    std::vector<std::vector<double>> loads_;
    std::size_t nextLine_ = 0;
    Reports reports_;
    std::optional<PendingSwitch> pending_;
    SkewMeter skew_;
    SkewMeter bound_;
    SkewMeter noiseFree_;
    SkewMeter bestFound_;
    FloorSearch noiseFreeSearch_;
    FloorSearch bestFoundSearch_;
    bool hasExpected_ = true;
    std::vector<microseconds> decideTimes_;
    ReplayResult result_;
};

Replay::Replay(const LoadTrace &trace, const ReplayOptions &options)
    : trace_(trace), options_(options), group_(trace.group), knownGroup_(trace.group),
      begin_(trace.lines.front().at), end_(trace.lines.back().at),
      loads_(trace.group.layers, std::vector<double>(trace.group.experts, 0.0)),
      skew_(trace.group.layers, begin_, end_, seriesBuckets),
      bound_(trace.group.layers, begin_, end_, seriesBuckets),
      noiseFree_(trace.group.layers, begin_, end_, seriesBuckets),
      bestFound_(trace.group.layers, begin_, end_, seriesBuckets), noiseFreeSearch_(trace.group),
      bestFoundSearch_(trace.group)
{ }

void Replay::scheduleReports()
{
    std::vector<const TraceLine *> last(group_.layers, nullptr);
    for (const TraceLine &line : trace_.lines) {
        if (options_.reportLag) {
            reports_.emplace(line.at + *options_.reportLag, &line);
            continue;
        }
        if (last[line.layer])
            reports_.emplace(line.at, last[line.layer]);
        last[line.layer] = &line;
    }
}

std::optional<milliseconds> Replay::nextTime() const
{
    std::optional<milliseconds> next;
    const auto consider = [&](milliseconds at) { next = next ? std::min(*next, at) : at; };
    if (nextLine_ < trace_.lines.size())
        consider(trace_.lines[nextLine_].at);
    if (!reports_.empty())
        consider(reports_.begin()->first);
    if (pending_)
        consider(pending_->at);
    return next;
}

void Replay::remeasure(std::uint32_t layer, milliseconds now)
{
    skew_.set(layer, now, layerSkew(group_, state_.layers[layer].map, loads_[layer]));
}

void Replay::reportMapInForce(milliseconds now, std::uint32_t layer)
{
    if (options_.mapInForce)
        options_.mapInForce(now, layer, state_.layers[layer].map);
}

void Replay::finishSwitch(milliseconds now)
{
    endSwitch(state_, pending_->decision, true);
    ++result_.switches;
    for (const LayerDecision &layer : pending_->decision.layers) {
        if (!layer.next)
            continue;
        remeasure(layer.layer, now);
        reportMapInForce(now, layer.layer);
    }
    pending_.reset();
}

void Replay::measureReferenceSkews(const TraceLine &line)
{
    bound_.set(line.layer, line.at, lowerBoundSkew(group_, line.loads));
    if (!options_.searchBestMaps)
        return;
    const LayerMap &found = bestFoundSearch_.best(group_, line.layer, line.loads);
    bestFound_.set(line.layer, line.at, layerSkew(group_, found, line.loads));
    if (line.expected.empty()) {
        hasExpected_ = false;
        return;
    }
    const LayerMap &foundWithoutNoise = noiseFreeSearch_.best(group_, line.layer, line.expected);
    noiseFree_.set(line.layer, line.at, layerSkew(group_, foundWithoutNoise, line.loads));
}

void Replay::applyLine(const TraceLine &line)
{
    loads_[line.layer] = line.loads;
    for (std::size_t rank = 0; rank < line.rankSpeeds.size(); ++rank)
        group_.ranks[rank].speed = line.rankSpeeds[rank];
    if (line.rankSpeeds.empty()) {
        remeasure(line.layer, line.at);
    } else {
        for (std::uint32_t layer = 0; layer < group_.layers; ++layer)
            remeasure(layer, line.at);
    }
    measureReferenceSkews(line);
}

Result<void> Replay::addReports(milliseconds now)
{
    while (!reports_.empty() && reports_.begin()->first == now) {
        const TraceLine &line = *reports_.begin()->second;
        reports_.erase(reports_.begin());
        for (std::size_t rank = 0; rank < line.rankSpeeds.size(); ++rank)
            knownGroup_.ranks[rank].speed = line.rankSpeeds[rank];
        const LoadReport report{TimePoint(line.at), line.layer, line.loads};
        BOOST_OUTCOME_TRYV(addLoadReport(knownGroup_, state_, report));
    }
    return boost::outcome_v2::success();
}

Result<void> Replay::decide(milliseconds now)
{
    const TimePoint before = options_.clock ? options_.clock() : TimePoint();
    PlacementDecision decision =
        decidePlacement(options_.policy, knownGroup_, state_, TimePoint(now));
    const TimePoint after = options_.clock ? options_.clock() : TimePoint();
    decideTimes_.push_back(std::chrono::duration_cast<microseconds>(after - before));
    if (decision.hasNewMap())
        return stage(now, std::move(decision));
    return boost::outcome_v2::success();
}

Result<void> Replay::stage(milliseconds now, PlacementDecision decision)
{
    ExpertMap current;
    for (const LayerPlacement &layer : state_.layers)
        current.layers.push_back(layer.map);
    ExpertMap next = current;
    for (const LayerDecision &layer : decision.layers) {
        if (layer.next)
            next.layers[layer.layer] = *layer.next;
    }
    BOOST_OUTCOME_TRY(plan, planStaging(knownGroup_, current, next));
    result_.moves += plan.transfers.size();
    result_.movedBytes += plan.transfers.size() * group_.expertBytes;
    pending_ = PendingSwitch{now + plan.duration, std::move(decision)};
    return boost::outcome_v2::success();
}

Result<ReplayResult> Replay::run()
{
    if (end_ <= begin_) {
        return failure(ErrorKind::BadInput,
                       "the trace has no duration; give it lines of at least two times");
    }
    ExpertMap initial;
    initial.layers.assign(group_.layers, initialLayerMap(group_));
    BOOST_OUTCOME_TRY(started, initialPlacement(group_, initial));
    state_ = std::move(started);
    for (std::uint32_t layer = 0; layer < group_.layers; ++layer)
        reportMapInForce(begin_, layer);
    scheduleReports();
    for (auto now = nextTime(); now && *now <= end_; now = nextTime()) {
        if (pending_ && pending_->at == *now)
            finishSwitch(*now);
        for (; nextLine_ < trace_.lines.size() && trace_.lines[nextLine_].at == *now; ++nextLine_)
            applyLine(trace_.lines[nextLine_]);
        const bool reported = !reports_.empty() && reports_.begin()->first == *now;
        BOOST_OUTCOME_TRYV(addReports(*now));
        if (reported) {
            BOOST_OUTCOME_TRYV(decide(*now));
        }
    }
    return result();
}

microseconds Replay::decidePercentile(double fraction)
{
    if (decideTimes_.empty())
        return microseconds(0);
    std::sort(decideTimes_.begin(), decideTimes_.end());
    const auto last = static_cast<double>(decideTimes_.size() - 1);
    return decideTimes_[static_cast<std::size_t>(std::ceil(fraction * last))];
}

ReplayResult Replay::result()
{
    for (SkewMeter *meter : {&skew_, &bound_, &noiseFree_, &bestFound_})
        meter->finish();
    result_.meanSkew = skew_.mean();
    result_.p99Skew = skew_.p99();
    result_.series = skew_.series();
    result_.lowerBoundMeanSkew = bound_.mean();
    if (options_.searchBestMaps) {
        result_.bestFoundMeanSkew = bestFound_.mean();
        if (hasExpected_)
            result_.bestFoundWithoutNoiseMeanSkew = noiseFree_.mean();
    }
    result_.stalled = result_.switches * group_.stepTime;
    result_.duration = end_ - begin_;
    result_.decideP50 = decidePercentile(0.5);
    result_.decideP99 = decidePercentile(0.99);
    const double duration = std::chrono::duration<double>(result_.duration).count();
    const double stalled = std::chrono::duration<double>(result_.stalled).count();
    const double loading = static_cast<double>(result_.movedBytes) / group_.storeBytesPerSecond;
    result_.cost = group_.skewWeight * (result_.meanSkew - 1.0)
        + group_.costWeight * (loading + stalled) / duration;
    return result_;
}

} // namespace

Result<ReplayResult> replayTrace(const LoadTrace &trace, const ReplayOptions &options)
{
    return Replay(trace, options).run();
}

} // namespace wisteria
