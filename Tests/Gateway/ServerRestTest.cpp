#include <catch2/catch.hpp>

#include "platform/RequestCodec.h"

using namespace wisteria;

TEST_CASE("The rest that a refusal asks for is read, and no other answer asks for any")
{
    const auto restIn = [](int status, const std::string &value) {
        HttpResponseHead head;
        head.status = status;
        head.fields = {{"Retry-After", value}};
        return platform::decodeAnswerHead(head).rest;
    };
    REQUIRE(restIn(503, "3") == seconds(3));
    REQUIRE(restIn(503, "0.25") == milliseconds(250));
    REQUIRE(restIn(503, "1e9") == seconds(3600));
    for (const char *wrong : {"", "-1", "nan", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"})
        REQUIRE(restIn(503, wrong) == milliseconds(0));
    REQUIRE(restIn(200, "3") == milliseconds(0));
}
