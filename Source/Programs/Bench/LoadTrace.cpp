#include "Programs/Bench/LoadTrace.h"

#include <cmath>

#include <nlohmann/json.hpp>

namespace wisteria {

namespace {

using nlohmann::json;

RankGroup parseGroup(const json &header)
{
    RankGroup group;
    RankCapacity rank;
    rank.slots = header.at("slots_per_rank").get<std::uint32_t>();
    rank.memoryBytes = header.value("rank_memory_bytes", std::uint64_t(0));
    group.ranks.assign(header.at("ranks").get<std::uint32_t>(), rank);
    group.layers = header.at("layers").get<std::uint32_t>();
    group.experts = header.at("experts").get<std::uint32_t>();
    group.expertBytes = header.at("expert_bytes").get<std::uint64_t>();
    group.storeBytesPerSecond = header.at("store_bytes_per_second").get<double>();
    group.stepTime = milliseconds(std::llround(header.at("step_ms").get<double>()));
    group.skewWeight = header.at("skew_weight").get<double>();
    group.costWeight = header.at("cost_weight").get<double>();
    return group;
}

TraceLine parseLine(const json &object)
{
    TraceLine line;
    line.at = milliseconds(std::llround(object.at("at_ms").get<double>()));
    line.layer = object.at("layer").get<std::uint32_t>();
    line.loads = object.at("loads").get<std::vector<double>>();
    line.expected = object.value("expected", std::vector<double>());
    line.rankSpeeds = object.value("rank_speeds", std::vector<double>());
    return line;
}

bool allFiniteAndAtLeast(const std::vector<double> &numbers, double min)
{
    for (const double number : numbers) {
        if (!std::isfinite(number) || number < min)
            return false;
    }
    return true;
}

/// Describes what is wrong with a line.
/// @return Empty when the line is valid.
std::string lineFault(const LoadTrace &trace, const TraceLine &line)
{
    constexpr double minSpeed = 1e-6;
    if (line.layer >= trace.group.layers)
        return "the layer is not below the header's number of layers";
    if (line.loads.size() != trace.group.experts || !allFiniteAndAtLeast(line.loads, 0))
        return "loads needs one number, 0 or more, for each expert";
    if (!line.expected.empty() && line.expected.size() != trace.group.experts)
        return "expected needs one number for each expert";
    const bool speeds = !line.rankSpeeds.empty();
    if (speeds && line.rankSpeeds.size() != trace.group.ranks.size())
        return "rank_speeds needs one number for each rank";
    if (speeds && !allFiniteAndAtLeast(line.rankSpeeds, minSpeed))
        return "rank_speeds needs numbers above 0";
    if (!trace.lines.empty() && line.at < trace.lines.back().at)
        return "at_ms goes back; sort the lines by time";
    return "";
}

auto traceFailure(const std::string &name, std::size_t line, const std::string &what)
{
    return failure(ErrorKind::BadInput,
                   name + ", line " + std::to_string(line) + ": " + what
                       + "; `wisteria-bench trace` makes well-formed traces");
}

json toJson(const RankGroup &group)
{
    return {{"ranks", group.ranks.size()},
            {"slots_per_rank", group.ranks.front().slots},
            {"layers", group.layers},
            {"experts", group.experts},
            {"expert_bytes", group.expertBytes},
            {"store_bytes_per_second", group.storeBytesPerSecond},
            {"step_ms", group.stepTime.count()},
            {"skew_weight", group.skewWeight},
            {"cost_weight", group.costWeight}};
}

json toJson(const TraceLine &line)
{
    json object = {{"at_ms", line.at.count()}, {"layer", line.layer}, {"loads", line.loads}};
    if (!line.expected.empty())
        object["expected"] = line.expected;
    if (!line.rankSpeeds.empty())
        object["rank_speeds"] = line.rankSpeeds;
    return object;
}

} // namespace

Result<LoadTrace> readTrace(std::istream &in, const std::string &name)
{
    LoadTrace trace;
    std::string text;
    std::size_t number = 0;
    bool header = true;
    while (std::getline(in, text)) {
        ++number;
        if (text.empty())
            continue;
        try {
            const json object = json::parse(text);
            if (header) {
                trace.group = parseGroup(object);
                trace.recipe = object.value("recipe", std::string());
                BOOST_OUTCOME_TRYV(checkRankGroup(trace.group));
                header = false;
                continue;
            }
            TraceLine line = parseLine(object);
            const std::string fault = lineFault(trace, line);
            if (!fault.empty())
                return traceFailure(name, number, fault);
            trace.lines.push_back(std::move(line));
        } catch (const json::exception &error) {
            return traceFailure(name, number, error.what());
        }
    }
    if (trace.lines.empty())
        return traceFailure(name, number, "the trace has no loads");
    return trace;
}

void writeTrace(std::ostream &out, const LoadTrace &trace)
{
    json header = toJson(trace.group);
    if (!trace.recipe.empty())
        header["recipe"] = trace.recipe;
    out << header.dump() << "\n";
    for (const TraceLine &line : trace.lines)
        out << toJson(line).dump() << "\n";
}

} // namespace wisteria
