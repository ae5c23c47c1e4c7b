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

TEST_CASE("Settings may contain comments")
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

TEST_CASE("The error for an invalid entry names its path")
{
    const auto settings = parseSettings("{\"port\": \"eighty\"}", "a.json", portSchema);
    REQUIRE(settings.has_error());
    CHECK(settings.error().message.find("a.json: at /port: ") == 0);
}

// Failure: a mistyped number in the settings ends the process without a message that names the
// file. The JSON library has separate exceptions for a number out of range and a syntax error.
TEST_CASE("A number that is out of range is reported and does not end the process")
{
    const auto settings = parseSettings("{\"port\": 1e999}", "a.json", portSchema);
    REQUIRE(settings.has_error());
    CHECK(settings.error().kind == ErrorKind::BadSettings);
    CHECK(settings.error().message.find("a.json: ") == 0);
}
