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
/// Tokens that a layer processes between two reports, averaged over a day.
constexpr double tokensPerReport = 1e6;
/// Amplitude of the daily change of the volume, relative to the average.
constexpr double volumeSwing = 0.5;
/// A drifting expert's popularity is at most a factor exp(popularitySwing) above or below its base.
constexpr double popularitySwing = 0.7;
/// A hot expert's popularity relative to that of the most popular expert.
constexpr double hotPopularity = 1.5;
constexpr double slowSpeed = 0.7;
/// Token counts are rounded to the inverse of this number, so that traces stay small.
constexpr double partsPerToken = 10.0;

/// Random numbers that are the same with every standard library, whose distributions differ.
class PortableRandom
{
public:
    explicit PortableRandom(std::uint64_t seed) : engine_(seed) { }

    /// Uniform in (0, 1].
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

void shuffle(std::vector<double> &values, PortableRandom &random)
{
    for (std::size_t i = values.size(); i > 1; --i)
        std::swap(values[i - 1], values[random.below(i)]);
}

std::vector<double> zipfPopularity(std::uint32_t experts, double exponent)
{
    std::vector<double> popularity(experts);
    for (std::uint32_t i = 0; i < experts; ++i)
        popularity[i] = std::pow(i + 1.0, -exponent);
    return popularity;
}

/// Shuffles the popularities of every second expert.
std::vector<double> changeHalf(const std::vector<double> &base, PortableRandom &random)
{
    std::vector<double> half;
    for (std::size_t i = 0; i < base.size(); i += 2)
        half.push_back(base[i]);
    shuffle(half, random);
    std::vector<double> changed = base;
    for (std::size_t i = 0; i < base.size(); i += 2)
        changed[i] = half[i / 2];
    return changed;
}

ExpertId coldExpert(const std::vector<double> &base, PortableRandom &random)
{
    const double mean = std::accumulate(base.begin(), base.end(), 0.0) / base.size();
    ExpertId expert = 0;
    do {
        expert = static_cast<ExpertId>(random.below(base.size()));
    } while (base[expert] > mean);
    return expert;
}

LayerPopularity drawPopularity(const TraceRecipe &recipe, PortableRandom &random)
{
    LayerPopularity popularity;
    popularity.base = zipfPopularity(recipe.group.experts, recipe.zipfExponent);
    shuffle(popularity.base, random);
    for (std::uint32_t i = 0; i < recipe.group.experts; ++i)
        popularity.phase.push_back(2.0 * std::numbers::pi * random.uniform());
    popularity.changed = changeHalf(popularity.base, random);
    popularity.hot = coldExpert(popularity.base, random);
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
    return std::round(tokens * partsPerToken) / partsPerToken;
}

TraceLine makeLine(const TraceRecipe &recipe, const LayerPopularity &popularity,
                   std::uint32_t report, PortableRandom &random)
{
    TraceLine line;
    line.at = report * recipe.interval;
    line.expected = popularityAt(recipe, popularity, report);
    const double sum = std::accumulate(line.expected.begin(), line.expected.end(), 0.0);
    const double volume = tokensPerReport * (1.0 + volumeSwing * std::sin(dayAngle(line.at)));
    for (double &tokens : line.expected) {
        tokens *= volume / sum;
        const double noisy = tokens * std::max(0.0, 1.0 + recipe.noise * random.normal());
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
    PortableRandom random(recipe.seed);
    std::vector<LayerPopularity> layers;
    for (std::uint32_t layer = 0; layer < recipe.group.layers; ++layer)
        layers.push_back(drawPopularity(recipe, random));
    const std::size_t slowRank = random.below(recipe.group.ranks.size());
    LoadTrace trace;
    trace.group = recipe.group;
    trace.recipe = describe(recipe);
    for (std::uint32_t report = 0; report < recipe.reports; ++report) {
        for (std::uint32_t layer = 0; layer < recipe.group.layers; ++layer) {
            trace.lines.push_back(makeLine(recipe, layers[layer], report, random));
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
