#include "Programs/Bench/PlacementCommand.h"

#include <fstream>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "Programs/Bench/PlacementReplay.h"

namespace wisteria {

namespace {

using nlohmann::ordered_json;

struct PlacementFlags
{
    std::string trace;
    std::string policy;
    bool json = false;
    bool searchBestMaps = false;
    std::optional<milliseconds> reportLag;
    std::string mapsOut;
    std::string seriesOut;
    std::optional<double> skewWeight;
    std::optional<double> costWeight;
};

PlacementFlags parseFlags(std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Replays a load trace against a placement policy in virtual time.");
    TCLAP::ValueArg<std::string> trace("", "trace", "trace as JSON lines", true, "", "FILE", line);
    TCLAP::ValueArg<std::string> policy("", "policy", "static, greedy, periodic or wisteria", true,
                                        "", "NAME", line);
    TCLAP::SwitchArg json("", "json", "print one JSON object instead of lines", line);
    TCLAP::SwitchArg floors("", "floors", "also search the best maps, free of charge", line);
    TCLAP::ValueArg<std::int64_t> lag(
        "", "report-lag-ms", "time until the decision sees a line; default: the layer's next line",
        false, 0, "MS", line);
    TCLAP::ValueArg<std::string> maps("", "maps-out", "write each map as it comes into force",
                                      false, "", "FILE", line);
    TCLAP::ValueArg<std::string> series("", "series-out", "write skew over time as CSV", false, "",
                                        "FILE", line);
    TCLAP::ValueArg<double> skew("", "skew-weight", "in place of the trace's", false, 0, "A", line);
    TCLAP::ValueArg<double> cost("", "cost-weight", "in place of the trace's", false, 0, "B", line);
    line.parse(arguments);
    PlacementFlags flags;
    flags.trace = trace.getValue();
    flags.policy = policy.getValue();
    flags.json = json.getValue();
    flags.searchBestMaps = floors.getValue();
    flags.mapsOut = maps.getValue();
    flags.seriesOut = series.getValue();
    if (lag.isSet())
        flags.reportLag = milliseconds(lag.getValue());
    if (skew.isSet())
        flags.skewWeight = skew.getValue();
    if (cost.isSet())
        flags.costWeight = cost.getValue();
    return flags;
}

Result<LoadTrace> loadTrace(const PlacementFlags &flags)
{
    std::ifstream file(flags.trace);
    if (!file) {
        return failure(ErrorKind::NotFound,
                       flags.trace + ": can't be read; give the path of a trace");
    }
    BOOST_OUTCOME_TRY(trace, readTrace(file, flags.trace));
    if (flags.skewWeight)
        trace.group.skewWeight = *flags.skewWeight;
    if (flags.costWeight)
        trace.group.costWeight = *flags.costWeight;
    BOOST_OUTCOME_TRYV(checkRankGroup(trace.group));
    return std::move(trace);
}

Result<void> openOutput(std::ofstream &file, const std::string &path)
{
    if (path.empty())
        return boost::outcome_v2::success();
    file.open(path);
    if (!file) {
        return failure(ErrorKind::NotFound,
                       path + ": can't be written; give a path in a folder that exists");
    }
    return boost::outcome_v2::success();
}

ordered_json toJson(const std::string &policy, const ReplayResult &result)
{
    ordered_json object;
    object["policy"] = policy;
    object["mean_skew"] = result.meanSkew;
    object["p99_skew"] = result.p99Skew;
    object["lower_bound_mean_skew"] = result.lowerBoundMeanSkew;
    if (result.bestFoundWithoutNoiseMeanSkew)
        object["noise_free_floor_mean_skew"] = *result.bestFoundWithoutNoiseMeanSkew;
    if (result.bestFoundMeanSkew)
        object["best_found_mean_skew"] = *result.bestFoundMeanSkew;
    object["moves"] = result.moves;
    object["moved_bytes"] = result.movedBytes;
    object["switches"] = result.switches;
    object["stalled_ms"] = result.stalled.count();
    object["decide_us_p50"] = result.decideP50.count();
    object["decide_us_p99"] = result.decideP99.count();
    object["cost"] = result.cost;
    return object;
}

void writeMap(std::ostream &out, milliseconds at, std::uint32_t layer, const LayerMap &map)
{
    ordered_json object;
    object["at_ms"] = at.count();
    object["layer"] = layer;
    object["ranks"] = map.ranks;
    out << object.dump() << "\n";
}

} // namespace

Result<void> runPlacementCommand(std::vector<std::string> arguments, std::ostream &out)
{
    const PlacementFlags flags = parseFlags(arguments);
    ReplayOptions options;
    BOOST_OUTCOME_TRY(policy, placementPolicyFromName(flags.policy));
    options.policy = policy;
    if (flags.reportLag && flags.reportLag->count() < 0)
        return failure(ErrorKind::BadInput, "--report-lag-ms is negative; give 0 or more");
    options.reportLag = flags.reportLag;
    options.searchBestMaps = flags.searchBestMaps;
    options.clock = monotonicNow;
    BOOST_OUTCOME_TRY(trace, loadTrace(flags));
    std::ofstream maps;
    std::ofstream series;
    BOOST_OUTCOME_TRYV(openOutput(maps, flags.mapsOut));
    BOOST_OUTCOME_TRYV(openOutput(series, flags.seriesOut));
    if (maps.is_open()) {
        options.mapInForce = [&maps](milliseconds at, std::uint32_t layer, const LayerMap &map) {
            writeMap(maps, at, layer, map);
        };
    }
    BOOST_OUTCOME_TRY(result, replayTrace(trace, options));
    for (const SkewSample &sample : result.series)
        series << sample.at.count() << "," << sample.skew << "\n";
    const ordered_json object = toJson(flags.policy, result);
    if (flags.json) {
        out << object.dump() << "\n";
        return boost::outcome_v2::success();
    }
    for (const auto &[name, value] : object.items())
        out << name << " " << value << "\n";
    return boost::outcome_v2::success();
}

} // namespace wisteria
