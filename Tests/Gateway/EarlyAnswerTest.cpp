#include <string>

#include <catch2/catch.hpp>

#include "Gateway/CallerSocket.h"
#include "Gateway/ServedGateway.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

// Guards against an answer that is lost because the gateway closes the connection while the rest of
// the request arrives, so that the kernel resets it.
TEST_CASE("A caller gets the rejection of a request whose body it still sends")
{
    nlohmann::json configuration = configurationOf(1);
    configuration["limits"] = {{"max_header_bytes", 16384},
                               {"max_body_bytes", 1000000},
                               {"header_timeout_ms", 3000},
                               {"idle_timeout_ms", 5000}};
    ServedGateway served(
        [](const SeenRequest &request, ScriptPeer &peer) { peer.send(sealed(request, 200, "x")); },
        configuration);
    constexpr std::size_t bodyBytes = 3000000;
    const std::string request =
        "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key1\r\n"
        "Wisteriawind-Attempt-Id: a1\r\nWisteriawind-Deadline-Ms: 3000\r\nContent-Length: "
        + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'b');
    constexpr int callers = 10;
    for (int i = 0; i < callers; ++i) {
        CallerSocket socket(served.callers());
        CHECK(socket.send(request.substr(0, bodyBytes / 2)));
        CHECK(socket.waitForBytes());
        CHECK(socket.send(request.substr(bodyBytes / 2)));
        CHECK(socket.readAnswer().status == 413);
    }
    CHECK(served.server.seen().empty());
}
