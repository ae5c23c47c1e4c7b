#include <atomic>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Gateway/BrokenAnswers.h"
#include "Gateway/CallerSocket.h"
#include "Gateway/GatewayUnderTest.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// All bytes that a caller gets for a request.
std::string rawAnswer(const GatewayUnderTest &gateway, std::string request)
{
    request.insert(request.find("\r\n") + 2, "Connection: close\r\n");
    const CallerSocket caller(gateway.callers());
    caller.send(request);
    return caller.readToEnd();
}

/// A gateway before one server of both services, which sends the answer that is set.
class BrokenServer
{
public:
    BrokenServer()
        : server_([this](const SeenRequest &request, ScriptPeer &peer) {
              sendBroken(*answer_.load(), request, peer);
          })
    {
        gateway.addBackend("i-2", "model", server_);
        gateway.startWithBackend("i-1", "plain", server_);
    }

    void setAnswer(const BrokenAnswer &answer) { answer_ = &answer; }
    std::size_t runs(const std::string &target) const { return server_.count(target); }

    GatewayUnderTest gateway;

private:
    std::atomic<const BrokenAnswer *> answer_ = nullptr;
    ScriptedServer server_;
};

/// Checks that the callers of each kind of route are told that the outcome is unknown.
void checkOutcomeUnknown(const std::vector<BrokenAnswer> &answers)
{
    BrokenServer broken;
    int number = 0;
    for (const BrokenAnswer &answer : answers) {
        broken.setAnswer(answer);
        for (const std::string route : {"/once/", "/again/", "/stream/"}) {
            const std::string target = route + std::to_string(++number);
            const std::string got = rawAnswer(broken.gateway, requestFor(target, target.substr(1)));
            CAPTURE(answer.name, route, got);
            CHECK(got.starts_with("HTTP/1.1 502 Bad Gateway\r\n"));
            CHECK(got.find("data:") == std::string::npos);
            CHECK(broken.runs(target + " ") + broken.runs(target) >= 1);
            if (route == "/once/")
                CHECK(broken.runs(target) == 1);
        }
    }
}

} // namespace

// Guards against an answer that HTTP has no meaning for and that reaches the caller.
TEST_CASE("An answer whose status is none of HTTP's reaches no caller")
{
    checkOutcomeUnknown(answersWithImpossibleStatus());
}
