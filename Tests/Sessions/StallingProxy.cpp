#include "Sessions/StallingProxy.h"

#include <map>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Process/EventLoop.h"

namespace wisteria::sessions {

namespace {

constexpr std::size_t bufferBytes = 65536;

sockaddr_in addressOf(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

/// Writes all bytes. Blocks while the socket's buffer is full, which the small messages of tests
/// never cause for long.
/// @return False when the connection is broken.
bool writeAll(int descriptor, const char *data, std::size_t size)
{
    while (size > 0) {
        const ssize_t written = send(descriptor, data, size, MSG_NOSIGNAL);
        if (written <= 0)
            return false;
        data += written;
        size -= static_cast<std::size_t>(written);
    }
    return true;
}

} // namespace

class StallingProxy::Private
{
public:
    explicit Private(const std::string &target)
        : target_(addressOf(target)), listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in local = addressOf("127.0.0.1:0");
        bind(listener_, reinterpret_cast<sockaddr *>(&local), sizeof(local));
        listen(listener_, SOMAXCONN);
        socklen_t size = sizeof(local);
        getsockname(listener_, reinterpret_cast<sockaddr *>(&local), &size);
        address_ = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
        loop_.watch(listener_, {.read = true}, [this](Interest) { acceptOne(); });
        thread_ = std::thread([this] { loop_.run(); });
    }

    ~Private()
    {
        loop_.stop();
        thread_.join();
        closeAll();
        loop_.unwatch(listener_);
        close(listener_);
    }

    void closeAll()
    {
        for (const auto &[descriptor, peer] : peers_) {
            loop_.unwatch(descriptor);
            close(descriptor);
        }
        peers_.clear();
    }

    void stallAll(bool stalled)
    {
        stalled_ = stalled;
        for (const auto &[descriptor, peer] : peers_)
            watch(descriptor);
    }

    std::string address_;
    EventLoop loop_;

private:
    void acceptOne()
    {
        const int client = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        const int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        connect(server, reinterpret_cast<const sockaddr *>(&target_), sizeof(target_));
        peers_[client] = server;
        peers_[server] = client;
        watch(client);
        watch(server);
    }

    void watch(int descriptor)
    {
        loop_.unwatch(descriptor);
        if (!stalled_)
            loop_.watch(descriptor, {.read = true},
                        [this, descriptor](Interest) { forward(descriptor); });
    }

    void forward(int from)
    {
        const int to = peers_.at(from);
        char buffer[bufferBytes];
        const ssize_t size = recv(from, buffer, sizeof(buffer), 0);
        if (size > 0 && writeAll(to, buffer, static_cast<std::size_t>(size)))
            return;
        for (const int descriptor : {from, to}) {
            loop_.unwatch(descriptor);
            close(descriptor);
            peers_.erase(descriptor);
        }
    }

    const sockaddr_in target_;
    const int listener_;
    std::map<int, int> peers_;
    bool stalled_ = false;
    std::thread thread_;
};

StallingProxy::StallingProxy(const std::string &target)
    : private_(std::make_unique<Private>(target))
{ }

StallingProxy::~StallingProxy() = default;

const std::string &StallingProxy::address() const
{
    return private_->address_;
}

void StallingProxy::cut()
{
    private_->loop_.post([this] { private_->closeAll(); });
}

void StallingProxy::stall(bool stalled)
{
    private_->loop_.post([this, stalled] { private_->stallAll(stalled); });
}

} // namespace wisteria::sessions
