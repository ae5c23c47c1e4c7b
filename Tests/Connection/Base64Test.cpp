#include "Connection/Base64.h"

#include <catch2/catch.hpp>

using namespace wisteria;

TEST_CASE("Base64 text of RFC 4648 is decoded and malformed text is rejected")
{
    CHECK(decodeBase64("") == "");
    CHECK(decodeBase64("Zg==") == "f");
    CHECK(decodeBase64("Zm8=") == "fo");
    CHECK(decodeBase64("Zm9vYmFy") == "foobar");
    CHECK(decodeBase64("/+8=") == std::string("\xff\xef", 2));
    CHECK(decodeBase64("Zg=") == std::nullopt);
    CHECK(decodeBase64("Z!==") == std::nullopt);
}
