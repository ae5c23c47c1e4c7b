#include "Process/Settings.h"

#include <catch2/catch.hpp>

using namespace wisteria;

namespace {

const nlohmann::json portSchema = {
    {"type", "object"},
    {"required", {"port"}},
    {"properties", {{"port", {{"type", "integer"}, {"minimum", 0}}}}},
    {"additionalProperties", false},
};

} // namespace

TEST_CASE("Settings may carry comments")
{
    const auto settings = parseSettings("// where to listen\n{\"port\": 80}", "a.json", portSchema);
    REQUIRE(settings.has_value());
    CHECK(settings.value()["port"] == 80);
}

TEST_CASE("A syntax error names the file, the line and the remedy")
{
    const auto settings = parseSettings("{\n\"port\": }", "a.json", portSchema);
    REQUIRE(settings.has_error());
    CHECK(settings.error().kind == ErrorKind::BadSettings);
    CHECK(settings.error().message.find("a.json, line 2") == 0);
    CHECK(settings.error().message.find("correct") != std::string::npos);
}

TEST_CASE("A wrong entry names its place")
{
    const auto settings = parseSettings("{\"port\": \"eighty\"}", "a.json", portSchema);
    REQUIRE(settings.has_error());
    CHECK(settings.error().message.find("a.json: at /port: ") == 0);
}

// The operator mistypes a number and the process ends without a message instead of naming the
// file. The JSON library reports a number out of range by another exception than a syntax error.
TEST_CASE("A number that is out of range is reported and does not end the process")
{
    const auto settings = parseSettings("{\"port\": 1e999}", "a.json", portSchema);
    REQUIRE(settings.has_error());
    CHECK(settings.error().kind == ErrorKind::BadSettings);
    CHECK(settings.error().message.find("a.json: ") == 0);
}
