#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Config.pb.h"
#include "Sessions/ChildProcess.h"
#include "Sessions/HttpCall.h"
#include "Sessions/StallingProxy.h"

namespace wisteria::sessions {

/// Size, limits and options of a system under test.
struct TestSystemOptions
{
    std::size_t entries = 1;
    std::size_t backendServers = 2;
    std::uint32_t concurrency = 4;
    std::uint32_t queueBound = 8;
    std::uint32_t maxAttempts = 3;
    /// Whether entries reach agents through fault proxies, which can stall and cut connections.
    bool useProxies = false;
    /// "IP:PORT" of a server that all agents have as their backend server, in place of the
    /// stand-ins.
    std::string backendAddress = {};
    /// Delay before a change shows in the platform's list of VMs.
    milliseconds vmLag = milliseconds(0);
};

/// A caller's request to an entry.
struct TestRequest
{
    std::string body = "hello";
    /// Idempotency key of a request that is not idempotent; otherwise empty.
    std::string key = {};
    int attempt = 1;
    milliseconds deadline = milliseconds(10000);
    std::string organisation = "north-wholesale";
    std::string service = "quotations";
    std::vector<std::string> headers = {};
};

/// The whole system as separate processes on loopback: log, list of VMs, backend servers with one
/// agent each, and entries. A configuration is in force when the constructor returns.
class TestSystem
{
public:
    explicit TestSystem(const TestSystemOptions &options);
    ~TestSystem();
    TestSystem(const TestSystem &) = delete;
    TestSystem &operator=(const TestSystem &) = delete;

    ChildProcess &log() { return *log_; }
    ChildProcess &vms() { return *vms_; }
    ChildProcess &entry(std::size_t i) { return *entries_.at(i); }
    ChildProcess &agent(std::size_t i) { return *agents_.at(i); }
    ChildProcess &backend(std::size_t i) { return *backends_.at(i); }
    /// Proxy between all entries and an agent; only with TestSystemOptions::useProxies.
    StallingProxy &proxy(std::size_t i) { return *proxies_.at(i); }

    std::string callerUrl(std::size_t entry, const std::string &service) const;
    HttpCallRequest httpRequestFor(std::size_t entry, const TestRequest &request) const;
    HttpAnswer send(std::size_t entry, const TestRequest &request) const;
    std::future<HttpAnswer> sendAsync(std::size_t entry, const TestRequest &request) const;

    /// Kills the process and starts it again at the same address.
    void restartBackend(std::size_t i);
    void restartAgent(std::size_t i);
    /// Starts an additional entry.
    void startEntry();

    /// Waits until new idempotency keys are accepted. Each key is owned by one backend server,
    /// whose agent refuses new keys for the first seconds after its start.
    void waitUntilKeysAccepted() const;

    /// How often a request ran, summed over all backend servers that answer.
    /// @param kind "keys" or "tags".
    /// @param name Idempotency key or tag.
    int runs(const std::string &kind, const std::string &name) const;
    /// Requests that all backend servers have run in total.
    int totalRuns() const;
    /// Highest number of runs of any one key, summed over all backend servers that answer.
    int maxRunsPerKey() const;
    /// Number of requests that a backend server holds until release().
    int heldRequests(std::size_t backend) const;
    /// Waits until a backend server holds a request.
    /// @return Its index.
    /// @throw std::runtime_error when none does in time.
    std::size_t waitForHeldRequest() const;
    /// Completes every request that is held under this name. Later requests of this name are not
    /// held.
    void release(const std::string &name) const;

    /// Appends a configuration change to the log.
    /// @return Its offset, which is the new version.
    std::uint64_t apply(const std::vector<v1::Object> &objects);
    v1::BackendServer backendObject(std::size_t i) const;
    /// Waits until the version is in force at every running agent and entry.
    /// @throw std::runtime_error when it is not in time.
    void waitUntilInForce(std::uint64_t version) const;
    void setLogFaults(const nlohmann::json &faults) const;

    /// Value of a metric without labels; 0 when it is absent.
    static double metric(const ChildProcess &process, const std::string &name);

private:
    std::string path(const std::string &name) const;
    std::string writeSettings(const std::string &name, const nlohmann::json &settings) const;
    /// @return Its address.
    std::string startBackend(std::size_t i);
    void startAgent(std::size_t i, const std::string &listen);
    std::uint64_t applyInitialConfig();

    TestSystemOptions options_;
    std::string folder_;
    std::unique_ptr<ChildProcess> log_;
    std::unique_ptr<ChildProcess> vms_;
    std::vector<std::unique_ptr<ChildProcess>> backends_;
    std::vector<std::unique_ptr<ChildProcess>> agents_;
    std::vector<std::unique_ptr<ChildProcess>> entries_;
    std::vector<std::unique_ptr<StallingProxy>> proxies_;
    /// Offset of the last change of each object, by object name.
    std::map<std::string, std::uint64_t> versions_;
    std::vector<std::string> agentAddresses_;
    std::vector<std::string> backendAddresses_;
};

/// Polls a condition until it holds.
/// @return False when it does not hold within the timeout.
bool eventually(const std::function<bool()> &condition, milliseconds timeout = milliseconds(10000));

/// A new unique idempotency key.
std::string freshKey();

} // namespace wisteria::sessions
