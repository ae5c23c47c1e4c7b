#include "Soak/FaultProxy.h"

#include <stdexcept>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wisteria::soak {

namespace {

constexpr int pollMilliseconds = 20;
constexpr int delayMilliseconds = 150;

sockaddr_in addressOf(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(endpoint.ip);
    return address;
}

void closeWithReset(int descriptor)
{
    const linger now{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    ::close(descriptor);
}

} // namespace

FaultProxy::FaultProxy(const Endpoint &target) : target_(target)
{
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = addressOf({INADDR_LOOPBACK, 0});
    socklen_t size = sizeof(address);
    constexpr int backlog = 128;
    if (::bind(listener_, reinterpret_cast<sockaddr *>(&address), size) != 0
        || ::listen(listener_, backlog) != 0)
        throw std::runtime_error("the fault proxy can't listen on 127.0.0.1");
    ::getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
    endpoint_ = {INADDR_LOOPBACK, ntohs(address.sin_port)};
    acceptor_ = std::thread([this] { acceptLoop(); });
}

FaultProxy::~FaultProxy()
{
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    for (std::thread &thread : threads_)
        thread.join();
}

void FaultProxy::acceptLoop()
{
    while (!stopping_) {
        const int client = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0)
            return;
        threads_.emplace_back([this, client] { forward(client); });
    }
}

void FaultProxy::forward(int client)
{
    const unsigned generation = generation_;
    const int server = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(target_);
    const bool connected =
        ::connect(server, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    bool open = connected;
    while (open && !stopping_ && generation == generation_) {
        pollfd polled[2] = {{client, POLLIN, 0}, {server, POLLIN, 0}};
        if (::poll(polled, 2, pollMilliseconds) <= 0)
            continue;
        const LinkFault fault = fault_;
        const bool blockRequests =
            fault == LinkFault::Blackholed || fault == LinkFault::RequestsBlocked;
        const bool blockAnswers =
            fault == LinkFault::Blackholed || fault == LinkFault::AnswersBlocked;
        if (fault == LinkFault::Delayed)
            ::poll(nullptr, 0, delayMilliseconds);
        if (polled[0].revents != 0 && !blockRequests)
            open = forwardBytes(client, server);
        if (open && polled[1].revents != 0 && !blockAnswers)
            open = forwardBytes(server, client);
        if (blockRequests || blockAnswers)
            ::poll(nullptr, 0, pollMilliseconds);
    }
    if (generation != generation_) {
        closeWithReset(client);
        closeWithReset(server);
        return;
    }
    ::close(client);
    ::close(server);
}

bool FaultProxy::forwardBytes(int from, int to)
{
    char bytes[8192];
    const ssize_t count = ::recv(from, bytes, sizeof(bytes), 0);
    if (count <= 0)
        return false;
    return ::send(to, bytes, static_cast<std::size_t>(count), MSG_NOSIGNAL) == count;
}

} // namespace wisteria::soak
