#include "Programs/Bench/TraceCommand.h"

#include <tclap/CmdLine.h>

#include "Programs/Bench/TraceGenerator.h"

namespace wisteria {

namespace {

/// Flags. The defaults describe a small group of 16 ranks; its weight store copies all
/// weights of a new map in 8 s.
class TraceFlags
{
public:
    Result<TraceRecipe> parse(std::vector<std::string> &arguments)
    {
        line_.parse(arguments);
        TraceRecipe recipe;
        BOOST_OUTCOME_TRY(kind, traceKindFromName(kind_.getValue()));
        recipe.kind = kind;
        recipe.seed = seed_.getValue();
        recipe.reports = reports_.getValue();
        recipe.interval = milliseconds(interval_.getValue());
        recipe.zipfExponent = zipf_.getValue();
        recipe.noise = noise_.getValue();
        recipe.group = group();
        BOOST_OUTCOME_TRYV(checkRankGroup(recipe.group));
        return recipe;
    }

private:
    template <typename T> using Flag = TCLAP::ValueArg<T>;

    RankGroup group()
    {
        RankGroup group;
        RankCapacity rank;
        rank.slots = slots_.getValue();
        group.ranks.assign(ranks_.getValue(), rank);
        group.layers = layers_.getValue();
        group.experts = experts_.getValue();
        group.expertBytes = expertBytes_.getValue();
        group.storeBytesPerSecond = storeRate_.getValue();
        group.stepTime = milliseconds(step_.getValue());
        group.skewWeight = skewWeight_.getValue();
        group.costWeight = costWeight_.getValue();
        return group;
    }

    TCLAP::CmdLine line_{"Generates a load trace from a seed."};
    Flag<std::string> kind_{
        "",     "kind", "daily-drift, hot-expert, catalogue-change, noise or slow-rank", true, "",
        "KIND", line_};
    Flag<std::uint64_t> seed_{"", "seed", "seed", false, 1, "N", line_};
    Flag<std::uint32_t> reports_{"", "reports", "reports a layer", false, 1440, "N", line_};
    Flag<std::uint32_t> interval_{"",   "interval-ms", "time between reports", false, 60000,
                                  "MS", line_};
    Flag<double> zipf_{"", "zipf", "exponent of the popularity", false, 0.8, "S", line_};
    Flag<double> noise_{"", "noise", "relative noise of a report", false, 0.08, "X", line_};
    Flag<std::uint32_t> ranks_{"", "ranks", "ranks", false, 16, "N", line_};
    Flag<std::uint32_t> slots_{"", "slots", "slots a rank and layer", false, 5, "N", line_};
    Flag<std::uint32_t> layers_{"", "layers", "layers", false, 4, "N", line_};
    Flag<std::uint32_t> experts_{"", "experts", "experts a layer", false, 64, "N", line_};
    Flag<std::uint64_t> expertBytes_{"",  "expert-bytes", "bytes of an expert", false, 50000000,
                                     "N", line_};
    Flag<double> storeRate_{"",  "store-rate", "bytes a second of the store", false, 2e9,
                            "N", line_};
    Flag<std::uint32_t> step_{"", "step-ms", "time of a step", false, 5, "MS", line_};
    Flag<double> skewWeight_{"", "skew-weight", "weight of skew", false, 0.8, "A", line_};
    Flag<double> costWeight_{"",  "cost-weight", "weight of rebalancing cost", false, 0.2,
                             "B", line_};
};

} // namespace

Result<void> runTraceCommand(std::vector<std::string> arguments, std::ostream &out)
{
    TraceFlags flags;
    BOOST_OUTCOME_TRY(recipe, flags.parse(arguments));
    writeTrace(out, generateTrace(recipe));
    return boost::outcome_v2::success();
}

} // namespace wisteria
