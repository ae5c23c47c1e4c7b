#include "Version/PlacementSession.h"

#include "Version/ExpertMapCodec.h"

namespace wisteria {

namespace {

/// Rate of a weight store that sets no bound: more than any network carries.
constexpr double unboundedStore = 1e12;
constexpr milliseconds usualStepTime(5);

ExpertMap initialMap(const RankGroup &group)
{
    return {std::vector<LayerMap>(group.layers, initialLayerMap(group))};
}

ExpertMap mapAfter(const ExpertMap &present, const PlacementDecision &decision)
{
    ExpertMap next = present;
    for (const LayerDecision &layer : decision.layers) {
        if (layer.next)
            next.layers[layer.layer] = *layer.next;
    }
    return next;
}

std::uint64_t movesOf(const PlacementDecision &decision)
{
    std::uint64_t moves = 0;
    for (const LayerDecision &layer : decision.layers) {
        if (layer.next)
            moves += layer.moves;
    }
    return moves;
}

void endSwitch(PlacementSession &session, bool inForce)
{
    switchDone(session.state, session.wanted->decision, inForce);
    if (inForce) {
        session.present = mapAfter(session.present, session.wanted->decision);
        session.moves += movesOf(session.wanted->decision);
        ++session.switches;
    }
    session.wanted.reset();
}

} // namespace

RankGroup groupOf(const v1::ExpertSpread &spread)
{
    RankGroup group;
    group.ranks.assign(spread.ranks(), RankCapacity{.slots = spread.slots_per_rank()});
    group.layers = spread.layers();
    group.experts = spread.experts();
    group.expertBytes = spread.expert_bytes();
    const bool bounded = spread.store_bytes_per_second() > 0;
    group.storeBytesPerSecond =
        bounded ? static_cast<double>(spread.store_bytes_per_second()) : unboundedStore;
    group.stepTime = spread.step_ms() > 0 ? milliseconds(spread.step_ms()) : usualStepTime;
    group.skewWeight = spread.skew_weight();
    group.costWeight = spread.cost_weight();
    return group;
}

Result<PlacementSession> startPlacementSession(const RankGroup &group,
                                               const std::optional<v1::ExpertMap> &inForce)
{
    PlacementSession session;
    session.group = group;
    if (inForce) {
        BOOST_OUTCOME_TRY(map, decodeExpertMap(*inForce));
        session.present = map;
    } else {
        session.present = initialMap(group);
    }
    BOOST_OUTCOME_TRY(state, startPlacement(group, session.present));
    session.state = state;
    return session;
}

void takeReports(PlacementSession &session, const std::vector<LoadReport> &reports)
{
    for (const LoadReport &report : reports)
        static_cast<void>(takeLoadReport(session.group, session.state, report));
}

std::optional<v1::ExpertMap> advancePlacement(PlacementSession &session,
                                              const std::string &digestInForce, TimePoint now)
{
    if (session.wanted && session.wanted->encoded.digest() == digestInForce)
        endSwitch(session, true);
    else if (session.wanted && now - session.wanted->since > wantedTimeout)
        endSwitch(session, false);
    if (session.wanted)
        return std::nullopt;
    PlacementDecision decision =
        decidePlacement(PlacementPolicy::Wisteria, session.group, session.state, now);
    if (!decision.moves())
        return std::nullopt;
    v1::ExpertMap encoded = encodeExpertMap(mapAfter(session.present, decision));
    session.wanted = WantedMap{std::move(decision), encoded, now};
    return encoded;
}

double expectedSkew(const PlacementSession &session)
{
    double sum = 0;
    std::size_t known = 0;
    for (const LayerPlacement &layer : session.state.layers) {
        if (layer.newestLoads.empty())
            continue;
        sum += layerSkew(session.group, layer.map, layer.newestLoads);
        ++known;
    }
    return known == 0 ? 1.0 : sum / static_cast<double>(known);
}

} // namespace wisteria
