#include <atomic>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Gateway/CallerSocket.h"
#include "Gateway/LoggedGateway.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// The largest resident size of a process so far, in kilobytes.
std::size_t peakKilobytes(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string field; status >> field;) {
        if (field == "VmHWM:") {
            std::size_t kilobytes = 0;
            status >> kilobytes;
            return kilobytes;
        }
    }
    return 0;
}

} // namespace

// Guards against a gateway that is killed for its memory because callers that asked to close their
// connections don't read their answers.
TEST_CASE("A gateway bounds the answers that it holds for callers of connections to be closed")
{
    constexpr std::size_t answerBytes = 12 * 1024 * 1024;
    constexpr int callers = 40;
    constexpr std::size_t allowedKilobytes = 256 * 1024;
    std::atomic<int> answered = 0;
    ScriptedServer server([&](const SeenRequest &request, ScriptPeer &peer) {
        peer.trySend(sealed(request, 200, std::string(answerBytes, 'x')));
        ++answered;
    });
    StoreStandIn store;
    store.put("keyed.op", "config", configurationOf(1));
    store.put("keyed.servers", "i-1", listEntryOf("plain", server.endpoint()));
    LoggedGateway gateway(store.endpoint());
    REQUIRE(gateway.waitUntilRouting());
    std::vector<std::unique_ptr<CallerSocket>> sockets;
    for (int i = 0; i < callers; ++i) {
        constexpr int receiveBufferBytes = 4096;
        sockets.push_back(std::make_unique<CallerSocket>(gateway.callers(), receiveBufferBytes));
        std::string request = requestFor("/again/x", "a" + std::to_string(i));
        request.insert(request.find("\r\n") + 2, "Connection: close\r\n");
        REQUIRE(sockets.back()->send(request));
        REQUIRE(eventually([&] { return answered > i; }));
    }
    REQUIRE(gateway.waitForLine("request.end", "id", "a" + std::to_string(callers - 1)) != nullptr);
    CHECK(peakKilobytes(gateway.process()) < allowedKilobytes);
}
