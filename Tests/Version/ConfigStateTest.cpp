#include "Version/ConfigState.h"

#include <catch2/catch.hpp>

using namespace wisteria;

namespace {

LogRecord serviceRecord(Offset offset, const std::string &name)
{
    v1::ConfigRecord record;
    record.mutable_change()->set_change_id("change-" + std::to_string(offset));
    v1::ObjectChange &change = *record.mutable_change()->add_changes();
    change.set_kind(v1::OBJECT_KIND_SERVICE);
    change.set_name(name);
    change.mutable_content()->mutable_service()->set_name(name);
    return {offset, record.SerializeAsString()};
}

} // namespace

TEST_CASE("An accepted record sets the version of the objects that it names")
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
