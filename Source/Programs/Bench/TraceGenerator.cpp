#include "Programs/Bench/TraceGenerator.h"

#include <array>
#include <cmath>
#include <numbers>
#include <numeric>
#include <random>
#include <utility>

namespace wisteria {

namespace {

constexpr std::array<std::pair<const char *, TraceKind>, 5> kindNames = {{
    {"daily-drift", TraceKind::DailyDrift},
    {"hot-expert", TraceKind::HotExpert},
    {"catalogue-change", TraceKind::CatalogueChange},
    {"noise", TraceKind::Noise},
    {"slow-rank", TraceKind::SlowRank},
}};

constexpr std::chrono::hours day(24);
/// Tokens a layer processes between two reports, on the day's average.
constexpr double tokensPerReport = 1e6;
/// The day's volume swings by this share of the average.
constexpr double volumeSwing = 0.5;
/// A swinging expert's popularity reaches exp(+-this) times its average.
constexpr double popularitySwing = 0.7;
/// A hot expert's popularity relative to the most popular one's.
constexpr double hotPopularity = 1.5;
constexpr double slowSpeed = 0.7;
/// Tokens are written to this many parts of one, so that traces stay small.
constexpr double tokenParts = 10.0;

/// Draws that are the same with every standard library, whose own distributions differ.
class Draws
{
public:
    explicit Draws(std::uint64_t seed) : engine_(seed) { }

    /// Between 0 and 1, never 0 itself.
    double uniform() { return (static_cast<double>(engine_() >> 11) + 1.0) * 0x1p-53; }

    std::size_t below(std::size_t bound) { return engine_() % bound; }

    double normal()
    {
        const double radius = std::sqrt(-2.0 * std::log(uniform()));
        return radius * std::cos(2.0 * std::numbers::pi * uniform());
    }

private:
    std::mt19937_64 engine_;
};

/// Popularity of one layer's experts over time.
struct LayerPopularity
{
    std::vector<double> base;
    std::vector<double> phase;
    /// Popularity after the catalogue changed.
    std::vector<double> changed;
    ExpertId hot = 0;
};

void shuffle(std::vector<double> &values, Draws &draws)
{
    for (std::size_t i = values.size(); i > 1; --i)
        std::swap(values[i - 1], values[draws.below(i)]);
}

std::vector<double> zipfPopularity(std::uint32_t experts, double exponent)
{
    std::vector<double> popularity(experts);
    for (std::uint32_t i = 0; i < experts; ++i)
        popularity[i] = std::pow(i + 1.0, -exponent);
    return popularity;
}

/// Every second expert of the layer takes the popularity of another of them.
std::vector<double> changeHalf(const std::vector<double> &base, Draws &draws)
{
    std::vector<double> half;
    for (std::size_t i = 0; i < base.size(); i += 2)
        half.push_back(base[i]);
    shuffle(half, draws);
    std::vector<double> changed = base;
    for (std::size_t i = 0; i < base.size(); i += 2)
        changed[i] = half[i / 2];
    return changed;
}

ExpertId coldExpert(const std::vector<double> &base, Draws &draws)
{
    const double middle = std::accumulate(base.begin(), base.end(), 0.0) / base.size();
    ExpertId expert = 0;
    do {
        expert = static_cast<ExpertId>(draws.below(base.size()));
    } while (base[expert] > middle);
    return expert;
}

LayerPopularity drawPopularity(const TraceRecipe &recipe, Draws &draws)
{
    LayerPopularity popularity;
    popularity.base = zipfPopularity(recipe.group.experts, recipe.zipfExponent);
    shuffle(popularity.base, draws);
    for (std::uint32_t i = 0; i < recipe.group.experts; ++i)
        popularity.phase.push_back(2.0 * std::numbers::pi * draws.uniform());
    popularity.changed = changeHalf(popularity.base, draws);
    popularity.hot = coldExpert(popularity.base, draws);
    return popularity;
}

double dayAngle(milliseconds at)
{
    const std::chrono::duration<double> since = at;
    return 2.0 * std::numbers::pi * since.count() / std::chrono::duration<double>(day).count();
}

std::vector<double> popularityAt(const TraceRecipe &recipe, const LayerPopularity &layer,
                                 std::uint32_t report)
{
    std::vector<double> popularity = layer.base;
    const double progress = static_cast<double>(report) / recipe.reports;
    switch (recipe.kind) {
    case TraceKind::DailyDrift:
        for (std::size_t i = 0; i < popularity.size(); ++i) {
            const double angle = dayAngle(report * recipe.interval) + layer.phase[i];
            popularity[i] *= std::exp(popularitySwing * std::sin(angle));
        }
        break;
    case TraceKind::HotExpert:
        if (progress >= 1.0 / 3 && progress < 2.0 / 3)
            popularity[layer.hot] = hotPopularity;
        break;
    case TraceKind::CatalogueChange:
        if (progress >= 0.5)
            popularity = layer.changed;
        break;
    case TraceKind::Noise:
    case TraceKind::SlowRank:
        break;
    }
    return popularity;
}

double roundTokens(double tokens)
{
    return std::round(tokens * tokenParts) / tokenParts;
}

TraceLine makeLine(const TraceRecipe &recipe, const LayerPopularity &popularity,
                   std::uint32_t report, Draws &draws)
{
    TraceLine line;
    line.at = report * recipe.interval;
    line.expected = popularityAt(recipe, popularity, report);
    const double sum = std::accumulate(line.expected.begin(), line.expected.end(), 0.0);
    const double volume = tokensPerReport * (1.0 + volumeSwing * std::sin(dayAngle(line.at)));
    for (double &tokens : line.expected) {
        tokens *= volume / sum;
        const double noisy = tokens * std::max(0.0, 1.0 + recipe.noise * draws.normal());
        line.loads.push_back(roundTokens(noisy));
        tokens = roundTokens(tokens);
    }
    return line;
}

std::string describe(const TraceRecipe &recipe)
{
    std::string name;
    for (const auto &[known, kind] : kindNames) {
        if (kind == recipe.kind)
            name = known;
    }
    return name + ", seed " + std::to_string(recipe.seed) + ", Zipf exponent "
        + std::to_string(recipe.zipfExponent) + ", noise " + std::to_string(recipe.noise);
}

} // namespace

Result<TraceKind> traceKindFromName(const std::string &name)
{
    std::string names;
    for (const auto &[known, kind] : kindNames) {
        if (name == known)
            return kind;
        names += std::string(names.empty() ? "" : ", ") + known;
    }
    return failure(ErrorKind::BadInput, "unknown kind '" + name + "'; use one of " + names);
}

LoadTrace generateTrace(const TraceRecipe &recipe)
{
    Draws draws(recipe.seed);
    std::vector<LayerPopularity> layers;
    for (std::uint32_t layer = 0; layer < recipe.group.layers; ++layer)
        layers.push_back(drawPopularity(recipe, draws));
    const std::size_t slowRank = draws.below(recipe.group.ranks.size());
    LoadTrace trace;
    trace.group = recipe.group;
    trace.recipe = describe(recipe);
    for (std::uint32_t report = 0; report < recipe.reports; ++report) {
        for (std::uint32_t layer = 0; layer < recipe.group.layers; ++layer) {
            trace.lines.push_back(makeLine(recipe, layers[layer], report, draws));
            trace.lines.back().layer = layer;
        }
        if (recipe.kind == TraceKind::SlowRank && report == recipe.reports / 3) {
            std::vector<double> speeds(recipe.group.ranks.size(), 1.0);
            speeds[slowRank] = slowSpeed;
            trace.lines[trace.lines.size() - recipe.group.layers].rankSpeeds = speeds;
        }
    }
    return trace;
}

} // namespace wisteria
