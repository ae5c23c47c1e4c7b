#include <catch2/catch.hpp>

#include "platform/RequestCodec.h"

using namespace wisteria;

TEST_CASE("A limit that an answer names is read, and what is no number names none")
{
    const auto limitIn = [](const std::string &value) {
        HttpResponseHead head;
        head.fields = {{"Server-Limit", value}};
        return platform::decodeAnswerHead(head).limitPerSecond;
    };
    REQUIRE(limitIn("1.5") == 1.5);
    REQUIRE(limitIn("4") == 4.0);
    for (const char *wrong : {"", "-1", "nan", "inf", "many", "1 2"})
        REQUIRE_FALSE(limitIn(wrong));
    REQUIRE_FALSE(platform::decodeAnswerHead(HttpResponseHead()).limitPerSecond);
}
