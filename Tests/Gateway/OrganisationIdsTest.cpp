#include <map>
#include <memory>
#include <string>

#include <catch2/catch.hpp>

#include "Gateway/GatewayUnderTest.h"
#include "Gateway/PoisonScenario.h"
#include "Request/OrganisationIds.h"
#include "Version/GroupMessages.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// A configuration with organisations, by their API keys.
ServiceConfiguration withKeys(const std::map<std::string, std::string> &nameOfKey)
{
    ServiceConfiguration configuration;
    for (const auto &[key, name] : nameOfKey)
        configuration.organisationOfKey[key] = {.name = name, .priority = {}};
    return configuration;
}

nlohmann::json configurationWithName(const std::string &name)
{
    nlohmann::json configuration = configurationOf(1);
    configuration["tenants"][0]["name"] = name;
    return configuration;
}

/// Changes a fleet in steps of a quarter of a second.
class RenamedFleet
{
public:
    void step(CrashingFleet &fleet)
    {
        constexpr int firstName = 16;
        constexpr int restart = 20;
        constexpr int restartOfAll = 26;
        constexpr int secondName = 32;
        GatewayFleet &gateways = fleet.gateways();
        ++steps_;
        if (steps_ == firstName)
            gateways.changeConfiguration(configurationWithName("acme two"));
        if (steps_ == restart)
            gateways.restart(0);
        if (steps_ == restartOfAll)
            gateways.restartAll();
        if (steps_ == secondName)
            gateways.changeConfiguration(configurationWithName("acme three"));
    }

private:
    int steps_ = 0;
};

} // namespace

TEST_CASE("An organisation keeps its id over new names as long as it keeps an API key")
{
    OrganisationIds ids;
    const auto first = withKeys({{"k1", "a"}, {"k2", "a"}, {"k3", "b"}});
    const auto second = withKeys({{"k1", "c"}, {"k4", "c"}, {"k3", "b"}});
    const auto third = withKeys({{"k4", "d"}, {"k3", "b"}, {"k5", "e"}});
    REQUIRE(noteConfigurations(ids, first, second));
    CHECK(organisationId(ids, "c") == "a");
    REQUIRE(noteConfigurations(ids, second, third));
    CHECK(organisationId(ids, "d") == "a");
    CHECK(organisationId(ids, "b") == "b");
    CHECK(organisationId(ids, "e") == "e");
    CHECK_FALSE(noteConfigurations(ids, second, third));
}

TEST_CASE("A key that moves to a known organisation changes no id, and a former name none either")
{
    OrganisationIds ids;
    const auto first = withKeys({{"k1", "a"}, {"k2", "b"}});
    CHECK_FALSE(noteConfigurations(ids, first, withKeys({{"k1", "b"}, {"k2", "b"}})));
    const auto renamed = withKeys({{"k1", "c"}, {"k2", "b"}});
    CHECK(noteConfigurations(ids, first, renamed));
    CHECK_FALSE(noteConfigurations(ids, renamed, first));
    CHECK(organisationId(ids, "a") == "a");
}

TEST_CASE("What is told of an organisation's id does not replace what is known, and is bounded")
{
    OrganisationIds ids;
    REQUIRE(noteOrganisationId(ids, "b", "a"));
    CHECK_FALSE(noteOrganisationId(ids, "b", "c"));
    CHECK(organisationId(ids, "b") == "a");
    for (std::size_t i = 0; i < 2 * maxOrganisationIds; ++i)
        noteOrganisationId(ids, "name " + std::to_string(i), "a");
    CHECK(ids.byName.size() == maxOrganisationIds);
    const OrganisationIdReport report{.name = "b", .id = "a"};
    CHECK(std::get<OrganisationIdReport>(decodeMessage(encodeMessage(report)).value()) == report);
}

// Guards against a poison request that begins anew when its organisation gets another name, also
// at gateways that start later.
TEST_CASE("A poison request does not begin anew when its organisation is renamed")
{
    auto renames = std::make_shared<RenamedFleet>();
    checkPoisonBound({.runTime = milliseconds(12000),
                      .disturb = [renames](CrashingFleet &fleet) { renames->step(fleet); },
                      .servedPart = 0.2});
}
