#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Gateway/ScriptedServer.h"

namespace wisteria::gateway_tests {

/// Sends a datagram from a socket of its own.
void sendDatagram(const Endpoint &to, const std::string &bytes);

/// A stand-in of a VM with a model engine and its sidecar. The VM, or a part of it, may fall
/// silent: what is sent to it is then read and never answered.
class EngineVm
{
public:
    /// What the engine does with a caller's request.
    using Run = std::function<void(EngineVm &, const SeenRequest &, ScriptPeer &)>;

    /// @param ip The VM's loopback address.
    EngineVm(std::uint32_t ip, Run run);
    ~EngineVm();
    EngineVm(const EngineVm &) = delete;
    EngineVm &operator=(const EngineVm &) = delete;

    Endpoint endpoint() const { return server_->endpoint(); }

    /// Lets the sidecar report the engine's load to a gateway each 0.1 s.
    /// @param gateway Where the gateway receives messages.
    void reportTo(const Endpoint &gateway);

    void setSidecarSilent(bool silent) { sidecarSilent_ = silent; }
    void setEngineSilent(bool silent) { engineSilent_ = silent; }
    bool engineSilent() const { return engineSilent_; }
    /// Sets the bytes of the engine's answer to a request for its report.
    void setReport(const std::string &answer) { report_ = std::make_shared<std::string>(answer); }
    void setFrozen(bool frozen);

    /// Number of callers' requests that the engine has read.
    std::size_t runs() const { return runs_; }
    /// Number of requests for its report.
    std::size_t reportReads() const { return reportReads_; }

private:
    void answer(const SeenRequest &request, ScriptPeer &peer);
    void report();

    Run run_;
    std::atomic<bool> sidecarSilent_ = false;
    std::atomic<bool> engineSilent_ = false;
    std::atomic<std::shared_ptr<std::string>> report_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::size_t> runs_ = 0;
    std::atomic<std::size_t> reportReads_ = 0;
    std::mutex mutex_;
    std::vector<Endpoint> gateways_;
    std::unique_ptr<ScriptedServer> server_;
    std::thread sidecar_;
};

} // namespace wisteria::gateway_tests
