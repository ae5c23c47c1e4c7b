#include "Gateway/EngineVm.h"

#include <utility>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Version/GroupMessages.h"

namespace wisteria::gateway_tests {

namespace {

constexpr int reportMilliseconds = 100;

} // namespace

void sendDatagram(const Endpoint &to, const std::string &bytes)
{
    const int descriptor = ::socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    address.sin_addr.s_addr = htonl(to.ip);
    ::sendto(descriptor, bytes.data(), bytes.size(), 0,
             reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    ::close(descriptor);
}

EngineVm::EngineVm(std::uint32_t ip, Run run)
    : run_(std::move(run)), report_(std::make_shared<std::string>(plainResponse(200, "", "{}"))),
      server_(std::make_unique<ScriptedServer>(
          [this](const SeenRequest &request, ScriptPeer &peer) { answer(request, peer); }, ip)),
      sidecar_([this] { report(); })
{ }

EngineVm::~EngineVm()
{
    stopping_ = true;
    sidecar_.join();
    server_.reset();
}

void EngineVm::reportTo(const Endpoint &gateway)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    gateways_.push_back(gateway);
}

void EngineVm::setFrozen(bool frozen)
{
    sidecarSilent_ = frozen;
    engineSilent_ = frozen;
}

void EngineVm::answer(const SeenRequest &request, ScriptPeer &peer)
{
    if (request.target() != "/report") {
        ++runs_;
        run_(*this, request, peer);
        return;
    }
    ++reportReads_;
    if (!engineSilent_)
        peer.send(*report_.load());
}

void EngineVm::report()
{
    const std::string load = encodeMessage(EngineLoad{.engine = endpoint(), .gateways = 0});
    while (!stopping_) {
        if (!sidecarSilent_) {
            const std::lock_guard<std::mutex> lock(mutex_);
            for (const Endpoint &gateway : gateways_)
                sendDatagram(gateway, load);
        }
        ::poll(nullptr, 0, reportMilliseconds);
    }
}

} // namespace wisteria::gateway_tests
