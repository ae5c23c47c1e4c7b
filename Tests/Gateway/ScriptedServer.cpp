#include "Gateway/ScriptedServer.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <stdexcept>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Connection/HttpReader.h"

namespace wisteria::gateway_tests {

namespace {

constexpr int waitMilliseconds = 2000;
constexpr int callMilliseconds = 8000;

std::string headerIn(const std::string &head, const std::string &name)
{
    std::string lower = head;
    std::string wanted = "\r\n" + name + ": ";
    const auto lowered = [](unsigned char c) { return static_cast<char>(std::tolower(c)); };
    std::transform(lower.begin(), lower.end(), lower.begin(), lowered);
    std::transform(wanted.begin(), wanted.end(), wanted.begin(), lowered);
    const std::size_t at = lower.find(wanted);
    if (at == std::string::npos)
        return {};
    const std::size_t begin = at + wanted.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

sockaddr_in addressOf(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(endpoint.ip);
    return address;
}

/// Reads one request.
/// @return False if the connection ended before the request was complete.
bool readRequest(int descriptor, std::string &buffer, SeenRequest &request)
{
    while (true) {
        const std::size_t end = buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            request.head = buffer.substr(0, end + 2);
            const std::string length = headerIn(request.head, "Content-Length");
            const std::size_t size = length.empty() ? 0 : std::stoul(length);
            if (buffer.size() >= end + 4 + size) {
                request.body = buffer.substr(end + 4, size);
                buffer.erase(0, end + 4 + size);
                return true;
            }
        }
        char bytes[4096];
        const ssize_t count = ::recv(descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
}

} // namespace

std::string SeenRequest::target() const
{
    const std::size_t begin = head.find(' ') + 1;
    return head.substr(begin, head.find(' ', begin) - begin);
}

std::string SeenRequest::header(const std::string &name) const
{
    return headerIn(head, name);
}

std::string CallResult::header(const std::string &name) const
{
    return headerIn(head, name);
}

void ScriptPeer::send(const std::string &bytes) const
{
    trySend(bytes);
}

bool ScriptPeer::trySend(const std::string &bytes) const
{
    return ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL)
        == static_cast<ssize_t>(bytes.size());
}

void ScriptPeer::reset()
{
    const linger now{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    closed_ = true;
}

bool ScriptPeer::waitForEnd(milliseconds time) const
{
    pollfd wanted{descriptor_, POLLIN, 0};
    if (::poll(&wanted, 1, static_cast<int>(time.count())) <= 0)
        return false;
    char byte = 0;
    return ::recv(descriptor_, &byte, 1, MSG_PEEK) <= 0;
}

bool ScriptPeer::waitForReset() const
{
    pollfd wanted{descriptor_, POLLIN, 0};
    if (::poll(&wanted, 1, waitMilliseconds) <= 0)
        return false;
    char byte = 0;
    return ::recv(descriptor_, &byte, 1, 0) < 0 && errno == ECONNRESET;
}

ScriptedServer::ScriptedServer(Script script, std::uint32_t ip) : script_(std::move(script))
{
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = addressOf({ip, 0});
    socklen_t size = sizeof(address);
    if (::bind(listener_, reinterpret_cast<sockaddr *>(&address), size) != 0
        || ::listen(listener_, 64) != 0)
        throw std::runtime_error("the scripted server can't listen on loopback");
    ::getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
    endpoint_ = {ip, ntohs(address.sin_port)};
    acceptor_ = std::thread([this] { acceptLoop(); });
}

ScriptedServer::~ScriptedServer()
{
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const int descriptor : descriptors_)
            ::shutdown(descriptor, SHUT_RDWR);
    }
    for (std::thread &thread : threads_)
        thread.join();
    for (const int descriptor : descriptors_) {
        if (descriptor >= 0)
            ::close(descriptor);
    }
}

void ScriptedServer::acceptLoop()
{
    while (!stopping_) {
        const int descriptor = ::accept(listener_, nullptr, nullptr);
        if (descriptor < 0)
            return;
        const std::lock_guard<std::mutex> lock(mutex_);
        descriptors_.push_back(descriptor);
        threads_.emplace_back([this, descriptor] { serve(descriptor); });
    }
}

void ScriptedServer::serve(int descriptor)
{
    std::string buffer;
    ScriptPeer peer(descriptor);
    for (int requestsBefore = 0; !peer.closed(); ++requestsBefore) {
        SeenRequest request;
        request.requestsBefore = requestsBefore;
        if (!readRequest(descriptor, buffer, request))
            break;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            seen_.push_back(request);
        }
        script_(request, peer);
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    std::replace(descriptors_.begin(), descriptors_.end(), descriptor, -1);
    ::close(descriptor);
}

std::vector<SeenRequest> ScriptedServer::seen() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return seen_;
}

std::size_t ScriptedServer::count(const std::string &target) const
{
    const std::vector<SeenRequest> all = seen();
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [&target](const SeenRequest &request) {
            return request.target().starts_with(target);
        }));
}

std::string plainResponse(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

CallResult callServer(const Endpoint &to, const std::string &request)
{
    CallResult result;
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = addressOf(to);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        return result;
    }
    ::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL);
    ResponseReader reader({.head =
                               [&result](const HttpResponseHead &head) {
                                   result.status = head.status;
                                   result.head = "\r\n";
                                   for (const HttpField &field : head.fields)
                                       result.head += field.name + ": " + field.value + "\r\n";
                               },
                           .body = [&result](std::string_view bytes) { result.body += bytes; },
                           .complete = [&result] { result.whole = true; },
                           .malformed = [](AnswerFault) {}},
                          false);
    pollfd wanted{descriptor, POLLIN, 0};
    while (!result.whole && ::poll(&wanted, 1, callMilliseconds) > 0) {
        char bytes[4096];
        const ssize_t count = ::recv(descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0)
            break;
        reader.feed({bytes, static_cast<std::size_t>(count)});
    }
    ::close(descriptor);
    return result;
}

OpenCall::OpenCall(const Endpoint &to, const std::string &request)
    : descriptor_(::socket(AF_INET, SOCK_STREAM, 0))
{
    const sockaddr_in address = addressOf(to);
    if (::connect(descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0)
        ::send(descriptor_, request.data(), request.size(), MSG_NOSIGNAL);
}

OpenCall::~OpenCall()
{
    disconnect();
}

bool OpenCall::waitForBytes() const
{
    pollfd wanted{descriptor_, POLLIN, 0};
    return ::poll(&wanted, 1, waitMilliseconds) > 0;
}

void OpenCall::disconnect()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
    descriptor_ = -1;
}

bool eventually(const std::function<bool()> &condition, milliseconds within)
{
    constexpr int betweenTries = 10;
    const auto tries = within.count() / betweenTries;
    for (std::int64_t i = 0; i < tries; ++i) {
        if (condition())
            return true;
        ::poll(nullptr, 0, betweenTries);
    }
    return false;
}

} // namespace wisteria::gateway_tests
