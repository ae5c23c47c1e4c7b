#include "Version/PlacementSession.h"

#include <catch2/catch.hpp>

#include "Version/ExpertMapCodec.h"

using namespace wisteria;

namespace {

RankGroup smallGroup()
{
    RankGroup group;
    group.ranks.assign(2, RankCapacity{.slots = 5});
    group.layers = 1;
    group.experts = 8;
    group.expertBytes = 1000;
    group.storeBytesPerSecond = 1e6;
    group.stepTime = milliseconds(5);
    group.skewWeight = 1;
    group.costWeight = 0.001;
    return group;
}

/// Feeds reports of one hot pair of experts until a map is wanted.
std::optional<v1::ExpertMap> untilWanted(PlacementSession &session, TimePoint &now)
{
    for (int i = 0; i < 100; ++i) {
        now += milliseconds(1000);
        takeReports(session, {{now, 0, {10, 20, 900, 850, 15, 10, 12, 9}}});
        if (auto wanted = advancePlacement(session, "", now))
            return wanted;
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("A map comes back from its text, and a changed text is refused")
{
    const ExpertMap map{{LayerMap{{{0, 1}, {2, 0}}}, LayerMap{{{1, 2}, {0, 2}}}}};
    v1::ExpertMap encoded = encodeExpertMap(map);
    CHECK(decodeExpertMap(encoded).value() == map);
    encoded.set_content(encoded.content() + " ");
    CHECK(decodeExpertMap(encoded).error().kind == ErrorKind::BadInput);
}

TEST_CASE("A wanted map counts as present only once it is in force")
{
    TimePoint now{seconds(1000)};
    PlacementSession session = startPlacementSession(smallGroup(), std::nullopt).value();
    const ExpertMap before = session.present;
    const auto wanted = untilWanted(session, now);
    REQUIRE(wanted);
    CHECK_FALSE(advancePlacement(session, "", now + milliseconds(1000)));
    CHECK(session.present == before);
    advancePlacement(session, wanted->digest(), now + milliseconds(2000));
    CHECK(session.present == decodeExpertMap(*wanted).value());
    CHECK(session.moves > 0);
}

// Experts would stay where they are for ever: a switch that the group gave up never comes into
// force, and the decision waits for it.
TEST_CASE("A map whose switch never ends is given up and another may be wanted")
{
    TimePoint now{seconds(1000)};
    PlacementSession session = startPlacementSession(smallGroup(), std::nullopt).value();
    REQUIRE(untilWanted(session, now));
    now += wantedTimeout;
    CHECK(untilWanted(session, now));
    CHECK(session.switches == 0);
}

TEST_CASE("An engine's load report is read with its age")
{
    const TimePoint now{seconds(1000)};
    const auto reports =
        parseLoadReports(R"({"age_ms":500,"layers":[{"layer":2,"loads":[1,2.5]}]})", now);
    REQUIRE(reports.has_value());
    CHECK(reports.value()[0].at == now - milliseconds(500));
    CHECK(reports.value()[0].layer == 2);
    CHECK(reports.value()[0].loads == std::vector<double>{1, 2.5});
    CHECK(parseLoadReports("{}", now).error().kind == ErrorKind::BadInput);
}
