#include "Gateway/CallerSocket.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Connection/HttpReader.h"

namespace wisteria::gateway_tests {

CallerSocket::CallerSocket(const Endpoint &to, int receiveBuffer)
    : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    if (receiveBuffer > 0)
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    address.sin_addr.s_addr = htonl(to.ip);
    if (::connect(descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0)
        return;
    ::close(descriptor_);
    descriptor_ = -1;
}

CallerSocket::~CallerSocket()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
}

bool CallerSocket::send(const std::string &bytes) const
{
    return ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL)
        == static_cast<ssize_t>(bytes.size());
}

ssize_t CallerSocket::read(std::string &part) const
{
    return ::recv(descriptor_, part.data(), part.size(), MSG_WAITALL);
}

CallResult CallerSocket::readAnswer(milliseconds within)
{
    CallResult result;
    ResponseReader reader({.head =
                               [&](const HttpResponseHead &head) {
                                   result.status = head.status;
                                   result.head = "\r\n";
                                   for (const HttpField &field : head.fields)
                                       result.head += field.name + ": " + field.value + "\r\n";
                               },
                           .body = [&](std::string_view bytes) { result.body += bytes; },
                           .complete = [&] { result.whole = true; },
                           .malformed = [](AnswerFault) {}},
                          false);
    if (!after_.empty())
        reader.feed(std::exchange(after_, {}));
    pollfd polled{descriptor_, POLLIN, 0};
    while (!result.whole && ::poll(&polled, 1, static_cast<int>(within.count())) > 0) {
        char bytes[4096];
        const ssize_t count = ::recv(descriptor_, bytes, sizeof(bytes), 0);
        if (count <= 0)
            break;
        reader.feed({bytes, static_cast<std::size_t>(count)});
    }
    if (result.whole)
        after_ = reader.trailingBytes();
    return result;
}

bool CallerSocket::waitForBytes(milliseconds within) const
{
    pollfd polled{descriptor_, POLLIN, 0};
    return ::poll(&polled, 1, static_cast<int>(within.count())) > 0;
}

std::string CallerSocket::readToEnd(milliseconds within) const
{
    std::string all;
    while (waitForBytes(within)) {
        char bytes[4096];
        const ssize_t count = ::recv(descriptor_, bytes, sizeof(bytes), 0);
        if (count <= 0)
            break;
        all.append(bytes, static_cast<std::size_t>(count));
    }
    return all;
}

bool CallerSocket::waitForEnd(milliseconds within) const
{
    const TimePoint end = monotonicNow() + within;
    pollfd polled{descriptor_, POLLIN, 0};
    while (true) {
        const milliseconds left = remaining(monotonicNow(), end);
        if (::poll(&polled, 1, static_cast<int>(left.count())) <= 0)
            return false;
        char bytes[4096];
        if (::recv(descriptor_, bytes, sizeof(bytes), 0) <= 0)
            return true;
    }
}

} // namespace wisteria::gateway_tests
