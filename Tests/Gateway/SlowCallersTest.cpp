#include <atomic>
#include <string>

#include <poll.h>

#include <catch2/catch.hpp>

#include "Gateway/CallerSocket.h"
#include "Gateway/ServedGateway.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// More than the kernel's buffers take of a connection on loopback.
constexpr std::size_t answerBytes = 12 * 1024 * 1024;
/// Bytes that a slow caller reads each time, and the time between two reads: 6 s for the answer.
constexpr std::size_t bytesPerRead = 131072;
constexpr int millisecondsPerRead = 62;

constexpr int receiveBufferBytes = 65536;

/// Reads slowly until the end of the connection.
/// @return The number of bytes, of the head too.
std::size_t readSlowly(const CallerSocket &caller)
{
    std::string part(bytesPerRead, '\0');
    std::size_t total = 0;
    while (true) {
        const ssize_t count = caller.read(part);
        if (count <= 0)
            return total;
        total += static_cast<std::size_t>(count);
        ::poll(nullptr, 0, millisecondsPerRead);
    }
}

} // namespace

// Guards against answers that a gateway has taken over and cuts off, and against its crash, when it
// stops while callers still read them.
TEST_CASE("A gateway that stops delivers the answers that callers read slowly, and exits in order")
{
    std::atomic<int> answered = 0;
    ServedGateway served([&answered](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, std::string(answerBytes, 'a')));
        ++answered;
    });
    const CallerSocket caller(served.callers(), receiveBufferBytes);
    REQUIRE(caller.send(requestFor("/again/x", "a1")));
    REQUIRE(eventually([&] { return answered > 0; }));
    served.process->terminate();
    CHECK(readSlowly(caller) > answerBytes);
    CHECK(served.process->waitForExit() == 0);
}

// Guards against a crash at the end of a gateway whose callers never read their answers.
TEST_CASE("A gateway exits in order while a caller does not read its answer")
{
    ServedGateway served([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, std::string(answerBytes, 'a')));
    });
    const CallerSocket caller(served.callers(), receiveBufferBytes);
    REQUIRE(caller.send(requestFor("/again/x", "a1")));
    REQUIRE(eventually([&] { return !served.server.seen().empty(); }));
    served.process->terminate();
    CHECK(served.process->waitForExit() == 0);
}

// Guards against an answer that is cut off because its caller reads nothing for some seconds.
TEST_CASE("A caller that pauses for some seconds gets the rest of its answer")
{
    ServedGateway served([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(sealed(request, 200, std::string(answerBytes, 'a')));
    });
    const CallerSocket caller(served.callers(), receiveBufferBytes);
    REQUIRE(caller.send(requestFor("/again/x", "a1")));
    REQUIRE(caller.waitForBytes());
    constexpr int pauseMilliseconds = 7000;
    ::poll(nullptr, 0, pauseMilliseconds);
    std::string part(bytesPerRead, '\0');
    std::size_t total = 0;
    for (ssize_t count = caller.read(part); count > 0 && total <= answerBytes;
         count = caller.read(part))
        total += static_cast<std::size_t>(count);
    CHECK(total > answerBytes);
}
