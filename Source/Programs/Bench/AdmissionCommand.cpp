#include "Programs/Bench/AdmissionCommand.h"

#include <chrono>
#include <random>

#include <tclap/CmdLine.h>

#include "Request/AdmissionQueue.h"
#include "Request/BackendRegistry.h"
#include "Request/PriorityLimits.h"

namespace wisteria {

namespace {

constexpr TimePoint start{std::chrono::seconds(100)};
constexpr std::uint32_t priorities = 3;
constexpr milliseconds wait{200};

EngineProfile profile()
{
    using Milliseconds = std::chrono::duration<double, std::milli>;
    return {.slots = 10,
            .stepsPerPass = 4,
            .step = Milliseconds(8),
            .stepPerRequest = Milliseconds(0.8),
            .expertShare = 0.6};
}

BackendRegistry registryOf(std::uint32_t servers)
{
    BackendRegistry registry;
    for (std::uint32_t i = 0; i < servers; ++i) {
        BackendEntry entry;
        entry.id = "server-" + std::to_string(i);
        entry.service = "s";
        entry.slots = 10;
        entry.address = {i + 1, 80};
        putBackend(registry, entry, start);
        noteLoad(registry.backends.at(entry.id),
                 {.running = i % 8, .receivedAt = start, .gateways = 4}, 0.5);
    }
    return registry;
}

/// State of one gateway in a surge: a quarter of the organisations have a waiting request.
struct AdmissionState
{
    BackendRegistry registry;
    PriorityLimits limits;
    PriorityCounts counts;
    AdmissionQueue queue;
    OrganisationShares shares;
    std::vector<std::string> organisations;
};

AdmissionState stateOf(std::uint32_t servers, std::uint32_t organisations)
{
    AdmissionState state;
    state.registry = registryOf(servers);
    state.limits = priorityLimitsOf({0, 1, 2}, profile(), milliseconds(110));
    for (std::uint32_t i = 0; i < organisations; ++i) {
        state.organisations.push_back("organisation-" + std::to_string(i));
        noteOrganisationStart(state.shares, state.organisations.back(), start);
        noteDecided(state.counts, i % priorities, i % 2 == 0, start);
        if (i % 4 == 0)
            joinQueue(state.queue, i % priorities, state.organisations.back());
    }
    return state;
}

/// Decides on one request.
/// @return Whether it starts or waits.
bool decide(AdmissionState &state, std::uint32_t priority, const std::string &organisation,
            double randomUnit)
{
    const bool starved = isStarved(state.counts, priority, start);
    const std::size_t step = starved ? 0 : priorityStepOf(state.limits, priority);
    const BackendCriteria criteria{.service = "s",
                                   .tried = {},
                                   .maxLoad = maxLoadOf(state.limits, step),
                                   .withinFreeShare = true,
                                   .failureDomain = "a"};
    const BackendChoice choice = chooseBackend(state.registry, criteria, start, randomUnit);
    const std::size_t ahead =
        countAhead(state.queue, state.limits.priorities[step], &state.shares, organisation, start);
    if (choice.backend != nullptr && ahead == 0)
        noteOrganisationStart(state.shares, organisation, start);
    noteDecided(state.counts, priority, choice.backend != nullptr, start);
    return choice.backend != nullptr || waitCanSucceed(state.queue, ahead, wait, start);
}

} // namespace

Result<void> runAdmissionCommand(std::vector<std::string> arguments, std::ostream &out)
{
    using Flag = TCLAP::ValueArg<std::uint32_t>;
    TCLAP::CmdLine line("Measures one admission decision of a gateway.");
    Flag servers("", "servers", "backend servers", false, 64, "N", line);
    Flag organisations("", "organisations", "organisations", false, 1000, "N", line);
    Flag decisions("", "decisions", "decisions to measure", false, 100'000, "N", line);
    line.parse(arguments);
    AdmissionState state =
        stateOf(std::max(1U, servers.getValue()), std::max(1U, organisations.getValue()));
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> unit(0, 1);
    std::uint32_t admitted = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint32_t i = 0; i < decisions.getValue(); ++i) {
        const std::string &organisation = state.organisations[i % state.organisations.size()];
        admitted += decide(state, i % priorities, organisation, unit(random)) ? 1 : 0;
    }
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begin;
    out << "microseconds per decision: " << took.count() / std::max(1U, decisions.getValue())
        << "\nadmitted: " << admitted << "\n";
    return boost::outcome_v2::success();
}

} // namespace wisteria
