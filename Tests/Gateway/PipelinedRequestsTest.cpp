#include <string>

#include <catch2/catch.hpp>

#include "Gateway/CallerSocket.h"
#include "Gateway/ServedGateway.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

// Guards against a caller that ends the process with many short requests on one connection.
TEST_CASE("A gateway survives thousands of requests that wait behind another on one connection")
{
    ServedGateway served([](const SeenRequest &request, ScriptPeer &peer) {
        if (!peer.waitForEnd(seconds(1)))
            peer.trySend(sealed(request, 200, "done"));
    });
    CallerSocket socket(served.callers());
    socket.send(requestFor("/again/x", "first"));
    REQUIRE(eventually([&] { return served.server.count("/again/x") == 1; }));
    // More than are buffered behind a request that is being handled.
    constexpr int requests = 8000;
    std::string pipelined;
    for (int i = 0; i < requests; ++i)
        pipelined += "G / HTTP/1.1\r\n\r\n";
    socket.send(pipelined);
    CHECK(socket.readAnswer().status == 200);
    CHECK(socket.readAnswer().status == 400);
    CHECK(callServer(served.callers(), requestFor("/none/x", "after")).status == 404);
    served.process->terminate();
    CHECK(served.process->waitForExit() == 0);
}
