#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Gateway/CallerSocket.h"
#include "Gateway/ServedGateway.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

// Guards against a gateway that is killed for its memory because callers that asked to close their
// connections don't read their answers.
TEST_CASE("A gateway bounds the answers that it holds for callers of connections to be closed")
{
    constexpr std::size_t answerBytes = 12 * 1024 * 1024;
    constexpr int callers = 40;
    constexpr std::size_t allowedBytes = 256 * 1024 * 1024;
    std::atomic<int> answered = 0;
    ServedGateway served([&](const SeenRequest &request, ScriptPeer &peer) {
        peer.trySend(sealed(request, 200, std::string(answerBytes, 'x')));
        ++answered;
    });
    std::vector<std::unique_ptr<CallerSocket>> sockets;
    for (int i = 0; i < callers; ++i) {
        constexpr int receiveBufferBytes = 4096;
        sockets.push_back(std::make_unique<CallerSocket>(served.callers(), receiveBufferBytes));
        std::string request = requestFor("/again/x", "a" + std::to_string(i));
        request.insert(request.find("\r\n") + 2, "Connection: close\r\n");
        REQUIRE(sockets.back()->send(request));
        REQUIRE(eventually([&] { return answered > i; }));
    }
    REQUIRE(served.process->waitForLine("request.end", "id", "a" + std::to_string(callers - 1))
            != nullptr);
    CHECK(served.process->peakMemory() < allowedBytes);
}
