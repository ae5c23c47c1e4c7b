#include "Programs/Bench/KeysCommand.h"

#include <tclap/CmdLine.h>

#include "Programs/Bench/ClaimBench.h"
#include "Programs/Bench/HomeBench.h"

namespace wisteria {

namespace {

constexpr int windowsMs[] = {2, 10, 50, 200, 1000};
constexpr std::uint32_t homeSizes[] = {3, 30, 300};
constexpr std::uint32_t keyCounts[] = {10'000, 20'000, 40'000};

nlohmann::json claims(const ClaimRecipe &base)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const int window : windowsMs) {
        ClaimRecipe recipe = base;
        recipe.window = milliseconds(window);
        rows.push_back(replayClaims(recipe));
    }
    ClaimRecipe outage = base;
    outage.window = milliseconds(windowsMs[std::size(windowsMs) - 1]);
    outage.outage = seconds(10);
    rows.push_back(replayClaims(outage));
    return rows;
}

} // namespace

Result<void> runKeysCommand(std::vector<std::string> arguments, std::ostream &out)
{
    TCLAP::CmdLine line("Compares the ways to run a key at most once.");
    TCLAP::ValueArg<std::uint32_t> daemons("", "daemons", "daemons that claim", false, 340, "N",
                                           line);
    TCLAP::ValueArg<double> rate("", "rate", "keyed requests a second", false, 7500, "R", line);
    TCLAP::ValueArg<double> appends("", "appends", "appends a second that the log takes", false,
                                    400, "R", line);
    TCLAP::ValueArg<double> homeRate("", "home-rate", "keyed requests a second at one home", false,
                                     4.2, "R", line);
    line.parse(arguments);
    ClaimRecipe recipe;
    recipe.daemons = daemons.getValue();
    recipe.requestsPerSecond = rate.getValue();
    recipe.appendsPerSecond = appends.getValue();
    nlohmann::json result;
    result["claims"] = claims(recipe);
    for (const std::uint32_t servers : homeSizes)
        result["homes"].push_back(replayHomeChanges({homeRate.getValue(), servers}));
    for (const std::uint32_t keys : keyCounts)
        result["gate"].push_back(measureGate(keys, monotonicNow));
    out << result.dump(2) << "\n";
    return boost::outcome_v2::success();
}

} // namespace wisteria
