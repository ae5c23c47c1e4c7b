#include "Request/Route.h"

#include <map>

#include <catch2/catch.hpp>

using namespace wisteria;

namespace {

const TimePoint start{seconds(1000)};

v1::RoutingPolicy loadOnly()
{
    v1::RoutingPolicy policy;
    policy.set_load_weight(1);
    return policy;
}

RouteQuery queryTrying(const std::vector<std::string> &tried)
{
    RouteQuery query;
    query.requestId = "request";
    query.tried = tried;
    return query;
}

} // namespace

TEST_CASE("The least occupied backend server that was not tried is chosen")
{
    std::vector<Candidate> candidates(3);
    candidates[0].name = "a";
    candidates[0].running = 1;
    candidates[1].name = "b";
    candidates[2].name = "c";
    candidates[2].leaving = true;
    CHECK(chooseBackendServer(candidates, loadOnly(), queryTrying({}), start) == 1);
    CHECK(chooseBackendServer(candidates, loadOnly(), queryTrying({"b"}), start) == 0);
    CHECK(chooseBackendServer(candidates, loadOnly(), queryTrying({"a", "b"}), start)
          == std::nullopt);
}
