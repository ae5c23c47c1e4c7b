#include "Programs/Bench/PlacementReplay.h"

#include <map>
#include <sstream>

#include <catch2/catch.hpp>

#include "Programs/Bench/TraceGenerator.h"

using namespace wisteria;

namespace {

TraceRecipe smallRecipe(TraceKind kind)
{
    TraceRecipe recipe;
    recipe.kind = kind;
    recipe.group.ranks.assign(8, RankCapacity{5, 0, 1.0});
    recipe.group.layers = 2;
    recipe.group.experts = 32;
    recipe.group.expertBytes = 50000000;
    recipe.group.storeBytesPerSecond = 1e9;
    recipe.group.stepTime = milliseconds(5);
    recipe.group.skewWeight = 0.8;
    recipe.group.costWeight = 0.2;
    recipe.reports = 120;
    return recipe;
}

struct PublishedMap
{
    milliseconds at;
    std::uint32_t layer;
    LayerMap map;
};

/// Computes the mean skew from only the trace and the published maps, in ticks of 5 ms.
double recomputeMeanSkew(const LoadTrace &trace, const std::vector<PublishedMap> &maps)
{
    RankGroup group = trace.group;
    std::vector<LayerMap> current(group.layers);
    std::vector<std::vector<double>> loads(group.layers);
    std::size_t nextMap = 0;
    std::size_t nextLine = 0;
    double sum = 0;
    const milliseconds tick(5);
    const milliseconds end = trace.lines.back().at;
    std::vector<double> skews(group.layers, 1.0);
    for (milliseconds now = trace.lines.front().at; now < end; now += tick) {
        bool changed = false;
        for (; nextMap < maps.size() && maps[nextMap].at <= now; ++nextMap, changed = true)
            current[maps[nextMap].layer] = maps[nextMap].map;
        for (; nextLine < trace.lines.size() && trace.lines[nextLine].at <= now; ++nextLine) {
            const TraceLine &line = trace.lines[nextLine];
            loads[line.layer] = line.loads;
            for (std::size_t rank = 0; rank < line.rankSpeeds.size(); ++rank)
                group.ranks[rank].speed = line.rankSpeeds[rank];
            changed = true;
        }
        for (std::uint32_t layer = 0; layer < group.layers; ++layer) {
            if (changed)
                skews[layer] = layerSkew(group, current[layer], loads[layer]);
            sum += skews[layer];
        }
    }
    return sum / (static_cast<double>((end - trace.lines.front().at) / tick) * group.layers);
}

} // namespace

TEST_CASE("The reported skew equals the skew computed from the trace and the published maps")
{
    for (const TraceKind kind : {TraceKind::DailyDrift, TraceKind::SlowRank}) {
        const LoadTrace trace = generateTrace(smallRecipe(kind));
        std::vector<PublishedMap> maps;
        ReplayOptions options;
        options.policy = PlacementPolicy::Greedy;
        options.mapInForce = [&](milliseconds at, std::uint32_t layer, const LayerMap &map) {
            maps.push_back({at, layer, map});
        };
        const ReplayResult result = replayTrace(trace, options).value();
        CHECK(result.meanSkew == Approx(recomputeMeanSkew(trace, maps)).epsilon(1e-9));
        CHECK(result.lowerBoundMeanSkew <= result.meanSkew);
    }
}

TEST_CASE("Weights are staged no faster than the rate of the weight store")
{
    for (const PlacementPolicy policy :
         {PlacementPolicy::Greedy, PlacementPolicy::Periodic, PlacementPolicy::CostAware}) {
        const LoadTrace trace = generateTrace(smallRecipe(TraceKind::HotExpert));
        std::map<milliseconds, std::uint64_t> copiedBytesAt;
        std::vector<LayerMap> current(trace.group.layers);
        ReplayOptions options;
        options.policy = policy;
        options.mapInForce = [&](milliseconds at, std::uint32_t layer, const LayerMap &map) {
            if (!current[layer].ranks.empty())
                copiedBytesAt[at] += countMoves(current[layer], map) * trace.group.expertBytes;
            current[layer] = map;
        };
        REQUIRE(replayTrace(trace, options));
        REQUIRE_FALSE(copiedBytesAt.empty());
        // The first decision is at the first report, one interval after the beginning.
        milliseconds before(60000);
        for (const auto &[at, bytes] : copiedBytesAt) {
            const double passed = std::chrono::duration<double>(at - before).count();
            CHECK(static_cast<double>(bytes) <= passed * trace.group.storeBytesPerSecond + 1.0);
            before = at;
        }
    }
}

TEST_CASE("A written trace is read back unchanged")
{
    const TraceRecipe recipe = smallRecipe(TraceKind::SlowRank);
    std::ostringstream first;
    std::ostringstream second;
    writeTrace(first, generateTrace(recipe));
    std::istringstream in(first.str());
    writeTrace(second, readTrace(in, "trace").value());
    CHECK(first.str() == second.str());
}

TEST_CASE("An invalid trace is rejected with its name and line")
{
    const std::string header = R"({"ranks":2,"slots_per_rank":1,"layers":1,"experts":2,)"
                               R"("expert_bytes":1,"store_bytes_per_second":1,"step_ms":5,)"
                               R"("skew_weight":1,"cost_weight":0})";
    const std::vector<std::string> wrong = {
        "",
        "not JSON",
        header,
        R"({"ranks":2})",
        header + "\n" + R"({"at_ms":0,"layer":1,"loads":[1,2]})",
        header + "\n" + R"({"at_ms":0,"layer":0,"loads":[1]})",
        header + "\n" + R"({"at_ms":0,"layer":0,"loads":[1,-2]})",
        header + "\n" + R"({"at_ms":0,"layer":0,"loads":[1,2],"rank_speeds":[1,0]})",
        header + "\n" + R"({"at_ms":9,"layer":0,"loads":[1,2]})" + "\n"
            + R"({"at_ms":8,"layer":0,"loads":[1,2]})",
    };
    for (const std::string &text : wrong) {
        std::istringstream in(text);
        const Result<LoadTrace> trace = readTrace(in, "trace.jsonl");
        REQUIRE_FALSE(trace);
        CHECK(trace.error().message.find("trace.jsonl, line ") == 0);
    }
}
