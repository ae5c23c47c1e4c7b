#include "Soak/KeepAliveCaller.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Connection/HttpReader.h"

namespace wisteria::soak {

namespace {

/// Longer than any route's timeout, so that late answers are received too.
constexpr int answerMilliseconds = 6000;

} // namespace

KeepAliveCaller::~KeepAliveCaller()
{
    close();
}

bool KeepAliveCaller::connect()
{
    if (descriptor_ >= 0)
        return true;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to_.port);
    address.sin_addr.s_addr = htonl(to_.ip);
    descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0)
        return true;
    close();
    return false;
}

void KeepAliveCaller::close()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
    descriptor_ = -1;
}

gateway_tests::CallResult KeepAliveCaller::call(const std::string &request)
{
    gateway_tests::CallResult result;
    if (!connect())
        return result;
    ::send(descriptor_, request.data(), request.size(), MSG_NOSIGNAL);
    bool keepAlive = false;
    ResponseReader reader({.head =
                               [&](const HttpResponseHead &head) {
                                   result.status = head.status;
                                   keepAlive = head.keepAlive;
                                   result.head = "\r\n";
                                   for (const HttpField &field : head.fields)
                                       result.head += field.name + ": " + field.value + "\r\n";
                               },
                           .body = [&](std::string_view bytes) { result.body += bytes; },
                           .complete = [&] { result.whole = true; },
                           .malformed = [](const std::string &) {}},
                          false);
    pollfd polled{descriptor_, POLLIN, 0};
    while (!result.whole && ::poll(&polled, 1, answerMilliseconds) > 0) {
        char bytes[4096];
        const ssize_t count = ::recv(descriptor_, bytes, sizeof(bytes), 0);
        if (count <= 0)
            break;
        reader.feed({bytes, static_cast<std::size_t>(count)});
    }
    if (!result.whole || !keepAlive)
        close();
    return result;
}

} // namespace wisteria::soak
