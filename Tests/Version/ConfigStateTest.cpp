#include "Version/ConfigState.h"

#include <catch2/catch.hpp>

#include "Version/ConfigRecords.h"

using namespace wisteria;
using namespace wisteria::test;

TEST_CASE("An accepted record sets the version of the objects that it changes")
{
    ConfigState state;
    CHECK(replayRecord(state, serviceRecord(7, "lookup")).accepted);
    CHECK(state.version == 7);
    CHECK(state.objects.at({v1::OBJECT_KIND_SERVICE, "lookup"}).version() == 7);
}

TEST_CASE("A record that was replayed before changes nothing")
{
    ConfigState state;
    replayRecord(state, serviceRecord(7, "lookup"));
    CHECK_FALSE(replayRecord(state, serviceRecord(7, "other")).accepted);
    CHECK(state.objects.size() == 1);
}
