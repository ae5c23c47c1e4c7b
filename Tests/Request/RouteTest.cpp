#include "Request/Route.h"

#include <catch2/catch.hpp>

using namespace wisteria;

TEST_CASE("The least occupied backend server that was not tried is chosen")
{
    std::vector<Candidate> candidates(3);
    candidates[0].name = "a";
    candidates[0].running = 1;
    candidates[1].name = "b";
    candidates[2].name = "c";
    candidates[2].leaving = true;
    CHECK(chooseBackendServer(candidates, {}) == 1);
    CHECK(chooseBackendServer(candidates, {"b"}) == 0);
    CHECK(chooseBackendServer(candidates, {"a", "b"}) == std::nullopt);
}
