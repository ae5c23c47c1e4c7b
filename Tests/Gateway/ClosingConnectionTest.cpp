#include <array>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "Connection/CallerConnection.h"
#include "Connection/StatusListener.h"
#include "Gateway/CallerSocket.h"
#include "Gateway/ScriptedAnswers.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

void runFor(EventLoop &loop, milliseconds time)
{
    loop.runAfter(time, [&loop] { loop.stop(); });
    loop.run();
}

std::size_t openDescriptors()
{
    std::size_t count = 0;
    for ([[maybe_unused]] const auto &entry : std::filesystem::directory_iterator("/proc/self/fd"))
        ++count;
    return count;
}

/// Reads until the connection ends or nothing has come for a while.
std::size_t readAll(int descriptor)
{
    constexpr int quietMilliseconds = 200;
    std::array<char, 65536> part{};
    std::size_t total = 0;
    pollfd polled{descriptor, POLLIN, 0};
    while (::poll(&polled, 1, quietMilliseconds) > 0) {
        const ssize_t count = ::recv(descriptor, part.data(), part.size(), 0);
        if (count <= 0)
            break;
        total += static_cast<std::size_t>(count);
    }
    return total;
}

} // namespace

// Guards against memory of an answer that is held, and counted no more, after its connection is
// cut.
TEST_CASE("Cutting a connection that is closing drops the bytes that its caller has not taken")
{
    std::array<int, 2> ends{};
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends.data()) == 0);
    constexpr std::size_t answerBytes = 8 * 1024 * 1024;
    EventLoop loop;
    CallerConnection connection(loop, ends[0], [] { return HttpLimits{}; },
                                {.request = [](const HttpRequest &) {},
                                 .fault = [](RequestFault) {},
                                 .closed = [] {},
                                 .drained = [] {}});
    connection.send(std::string(answerBytes, 'x'));
    connection.close();
    const std::size_t queued = connection.queued();
    REQUIRE(queued > answerBytes / 2);
    connection.abort();
    std::size_t read = 0;
    constexpr int rounds = 300;
    for (int i = 0; i < rounds && read < answerBytes; ++i) {
        std::array<char, 65536> part{};
        const ssize_t count = ::recv(ends[1], part.data(), part.size(), MSG_DONTWAIT);
        if (count > 0)
            read += static_cast<std::size_t>(count);
        runFor(loop, milliseconds(1));
    }
    CHECK(read + readAll(ends[1]) <= answerBytes - queued);
    ::close(ends[1]);
}

// Guards against clients of the readiness and metrics ports that use up the file descriptors.
TEST_CASE("Clients that keep closed connections open use a bounded number of descriptors")
{
    constexpr std::size_t clients = 200;
    constexpr std::size_t bound = 32;
    EventLoop loop;
    StatusListener listener(loop, [](const HttpRequest &) { return StatusAnswer{.status = 200}; });
    const auto address = listener.listen({INADDR_LOOPBACK, 0});
    REQUIRE(address.has_value());
    const std::size_t before = openDescriptors();
    std::vector<std::unique_ptr<CallerSocket>> sockets;
    for (std::size_t i = 0; i < clients; ++i) {
        sockets.push_back(std::make_unique<CallerSocket>(address.value()));
        REQUIRE(sockets.back()->send(
            "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
        runFor(loop, milliseconds(1));
    }
    CHECK(openDescriptors() <= before + clients + bound);
}
