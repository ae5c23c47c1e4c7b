#include <cerrno>
#include <vector>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "Connection/TcpConnection.h"

using namespace wisteria;

namespace {

/// A caller that begins to connect.
class ConnectingCaller
{
public:
    explicit ConnectingCaller(const Endpoint &to)
        : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        address.sin_addr.s_addr = htonl(to.ip);
        ::connect(descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    }
    ~ConnectingCaller() { ::close(descriptor_); }
    ConnectingCaller(const ConnectingCaller &) = delete;
    ConnectingCaller &operator=(const ConnectingCaller &) = delete;

    /// Waits until it is known how the attempt ended.
    /// @return Whether it is.
    bool waitForEnd(milliseconds within) const
    {
        pollfd polled{descriptor_, POLLOUT, 0};
        return ::poll(&polled, 1, static_cast<int>(within.count())) == 1;
    }

    /// Error of the attempt; 0 if it is connected.
    int error() const
    {
        int error = 0;
        socklen_t size = sizeof(error);
        ::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
        return error;
    }

private:
    int descriptor_;
};

} // namespace

// Guards against a connection that is set up while the listening socket is closed, and is reset.
TEST_CASE("A listener that ignores new connections takes those before, and refuses the others")
{
    EventLoop loop;
    std::vector<int> accepted;
    TcpListener listener(loop, [&accepted](int descriptor) { accepted.push_back(descriptor); });
    REQUIRE(listener.listen({INADDR_LOOPBACK, 0}).has_value());
    const ConnectingCaller before(listener.address());
    REQUIRE(before.waitForEnd(milliseconds(1000)));
    listener.ignoreNew();
    const ConnectingCaller after(listener.address());
    CHECK_FALSE(after.waitForEnd(milliseconds(300)));
    listener.acceptWaiting();
    REQUIRE(accepted.size() == 1);
    listener.close();
    CHECK(before.error() == 0);
    REQUIRE(after.waitForEnd(milliseconds(5000)));
    CHECK(after.error() == ECONNREFUSED);
    ::close(accepted.front());
}
