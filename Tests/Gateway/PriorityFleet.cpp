#include "Gateway/PriorityFleet.h"

#include <algorithm>
#include <cmath>

#include "Gateway/RegistryEntries.h"
#include "Programs/Gateway/DispatchOrder.h"

namespace wisteria::gateway_tests {

namespace {

constexpr TimePoint start{seconds(100)};
constexpr milliseconds tick{5};
constexpr milliseconds reportInterval{100};
constexpr std::size_t groups = 2;
constexpr std::uint32_t priorities = 3;

} // namespace

struct PriorityFleet::Gateway
{
    BackendRegistry registry;
    AdmissionQueue queue;
    PriorityCounts counts;
    OrganisationShares shares;
    std::vector<FleetRequest *> waiting;
    bool slotFreed = false;
};

struct PriorityFleet::Engine
{
    std::vector<FleetRequest *> running;
    /// Requests that begin with the next pass if there is a slot.
    std::deque<FleetRequest *> queued;
};

const EngineProfile &PriorityFleet::profile()
{
    using Milliseconds = std::chrono::duration<double, std::milli>;
    static const EngineProfile profile{.slots = 10,
                                       .stepsPerPass = 4,
                                       .step = Milliseconds(8),
                                       .stepPerRequest = Milliseconds(0.8),
                                       .expertShare = 0.6};
    return profile;
}

PriorityFleet::PriorityFleet(FleetSetup setup)
    : setup_(std::move(setup)), limits_(priorityLimitsOf({0, 1, 2}, profile(), targetGap)),
      random_(setup_.seed), engines_(setup_.engines), passEnds_(groups, start)
{
    for (std::size_t i = 0; i < setup_.gateways; ++i)
        gateways_.push_back(newGateway());
}

PriorityFleet::~PriorityFleet() = default;

std::unique_ptr<PriorityFleet::Gateway> PriorityFleet::newGateway() const
{
    auto gateway = std::make_unique<Gateway>();
    for (std::size_t i = 0; i < setup_.engines; ++i)
        putBackend(gateway->registry, entryOf(std::to_string(i)), start);
    return gateway;
}

const std::deque<FleetRequest> &PriorityFleet::run()
{
    constexpr milliseconds drainTime{4000};
    const std::size_t weights = setup_.gateways * (setup_.gateways + 1) / 2;
    for (milliseconds at{0}; at < setup_.duration + drainTime; at += tick) {
        const TimePoint now = start + at;
        for (std::size_t group = 0; group < groups; ++group) {
            if (passEnds_[group] <= now)
                endPass(group, now);
        }
        for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
            if ((at + tick * engine) % reportInterval == milliseconds(0))
                report(engine, now);
        }
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            if (setup_.restarts(i, at)) {
                for (FleetRequest *request : gateways_[i]->waiting)
                    request->onTime = false;
                for (FleetRequest &request : requests_)
                    request.gatewayRestarted = request.gatewayRestarted || request.gateway == i;
                gateways_[i] = newGateway();
            }
            dispatch(*gateways_[i], now);
            for (std::uint32_t priority = 0; at < setup_.duration && priority < priorities;
                 ++priority) {
                const double mean = setup_.demand(priority, at) * tick.count() / 1000.0
                    * static_cast<double>(i + 1) / static_cast<double>(weights);
                for (int n = std::poisson_distribution<int>(mean)(random_); n > 0; --n) {
                    requests_.push_back({.gateway = i,
                                         .priority = priority,
                                         .organisation = setup_.organisation(uniform()),
                                         .arrived = now,
                                         .passesLeft = 10 + static_cast<int>(uniform() * 20)});
                    arrive(requests_.back(), now);
                }
            }
        }
    }
    return requests_;
}

std::size_t PriorityFleet::stepOf(Gateway &gateway, const FleetRequest &request,
                                  TimePoint now) const
{
    return setup_.starvationBound && isStarved(gateway.counts, request.priority, now)
        ? 0
        : request.priority;
}

std::size_t PriorityFleet::aheadOf(Gateway &gateway, const FleetRequest &request,
                                   TimePoint now) const
{
    return countAhead(gateway.queue, static_cast<std::uint32_t>(stepOf(gateway, request, now)),
                      setup_.fairQueueing ? &gateway.shares : nullptr, request.organisation, now);
}

void PriorityFleet::arrive(FleetRequest &request, TimePoint now)
{
    Gateway &gateway = *gateways_[request.gateway];
    for (int attempt = 0; attempt <= setup_.immediateRetries; ++attempt) {
        const std::size_t ahead = aheadOf(gateway, request, now);
        if (ahead == 0 && tryStart(gateway, request, now))
            return;
        if (waitCanSucceed(gateway.queue, ahead, targetLatency / 2, now)) {
            joinQueue(gateway.queue, request.priority, request.organisation);
            gateway.waiting.push_back(&request);
            return;
        }
        refuse(request, now);
    }
}

void PriorityFleet::refuse(FleetRequest &request, TimePoint now)
{
    request.onTime = false;
    noteDecided(gateways_[request.gateway]->counts, request.priority, false, now);
}

bool PriorityFleet::tryStart(Gateway &gateway, FleetRequest &request, TimePoint now)
{
    const std::size_t step = stepOf(gateway, request, now);
    BackendCriteria criteria = criteriaOf();
    criteria.maxLoad = setup_.limits ? maxLoadOf(limits_, step) : 1;
    criteria.withinFreeShare = true;
    criteria.mayExceedFreeShare = setup_.limits && step == 0;
    BackendState *backend = chooseBackend(gateway.registry, criteria, now, uniform()).backend;
    if (backend == nullptr)
        return false;
    ++backend->ownInFlight;
    engines_[std::stoul(backend->entry.id)].queued.push_back(&request);
    request.started = request.onTime = true;
    starvedStarts_ += step < request.priority ? 1 : 0;
    noteDispatched(gateway.queue, now);
    noteOrganisationStart(gateway.shares, request.organisation, now);
    noteDecided(gateway.counts, request.priority, true, now);
    return true;
}

void PriorityFleet::dispatch(Gateway &gateway, TimePoint now)
{
    std::vector<WaitingRequest> waiting;
    for (std::size_t i = 0; i < gateway.waiting.size(); ++i) {
        const FleetRequest &request = *gateway.waiting[i];
        waiting.push_back(
            {i, static_cast<std::uint32_t>(stepOf(gateway, request, now)), request.organisation});
    }
    const OrganisationShares *shares = setup_.fairQueueing ? &gateway.shares : nullptr;
    for (const std::uint64_t i : dispatchOrder(waiting, shares, now)) {
        FleetRequest *&request = gateway.waiting[i];
        const bool begun = tryStart(gateway, *request, now);
        if (!begun && now < request->arrived + targetLatency / 2)
            continue;
        leaveQueue(gateway.queue, request->priority, request->organisation);
        if (!begun)
            refuse(*request, now);
        request = nullptr;
    }
    std::erase(gateway.waiting, nullptr);
}

void PriorityFleet::endPass(std::size_t group, TimePoint now)
{
    std::size_t busiest = 0;
    for (std::size_t i = group; i < engines_.size(); i += groups) {
        Engine &engine = engines_[i];
        for (FleetRequest *&request : engine.running) {
            const bool first = request->lastEvent == TimePoint();
            const bool late = first ? now - request->arrived > targetLatency
                                    : now - request->lastEvent > targetGap;
            request->onTime = request->onTime && !late;
            request->lastEvent = now;
            if (--request->passesLeft > 0)
                continue;
            if (!request->gatewayRestarted)
                --gateways_[request->gateway]->registry.backends.at(std::to_string(i)).ownInFlight;
            request = nullptr;
        }
        std::erase(engine.running, nullptr);
        std::stable_sort(engine.queued.begin(), engine.queued.end(),
                         [](const auto *a, const auto *b) { return a->priority < b->priority; });
        while (!engine.queued.empty() && engine.running.size() < profile().slots) {
            engine.running.push_back(engine.queued.front());
            engine.queued.pop_front();
        }
        busiest = std::max(busiest, engine.running.size());
    }
    const EngineProfile &engine = profile();
    const auto pass = (engine.step + engine.stepPerRequest * busiest) * engine.stepsPerPass;
    passEnds_[group] = now + std::chrono::duration_cast<milliseconds>(pass);
}

void PriorityFleet::report(std::size_t engine, TimePoint now)
{
    const BackendLoad load{.running = static_cast<std::uint32_t>(engines_[engine].running.size()),
                           .waiting = static_cast<std::uint32_t>(engines_[engine].queued.size()),
                           .receivedAt = now,
                           .gateways = static_cast<std::uint32_t>(setup_.gateways)};
    for (const auto &gateway : gateways_)
        noteLoad(gateway->registry.backends.at(std::to_string(engine)), load, uniform());
}

} // namespace wisteria::gateway_tests
