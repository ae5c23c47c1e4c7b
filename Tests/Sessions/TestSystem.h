#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Config.pb.h"
#include "Sessions/ChildProcess.h"
#include "Sessions/FlowLink.h"
#include "Sessions/HttpCall.h"

namespace wisteria::sessions {

/// Size and limits of a system under test.
struct SystemShape
{
    std::size_t entries = 1;
    std::size_t backendServers = 2;
    std::uint32_t concurrency = 4;
    std::uint32_t queueBound = 8;
    std::uint32_t maxAttempts = 3;
    /// Whether the ways between entries and agents can be broken.
    bool links = false;
    /// Lag of the platform's list of VMs.
    milliseconds vmLag = milliseconds(0);
};

/// A caller's request as tests state it.
struct CallerAsk
{
    std::string body = "hello";
    /// Set for a request that is not idempotent.
    std::string key = {};
    int attempt = 1;
    milliseconds deadline = milliseconds(10000);
    std::string organisation = "north-wholesale";
    std::string service = "quotations";
    std::vector<std::string> headers = {};
};

/// The whole system as separate processes on loopback: log, list of VMs, backend servers with an
/// agent each, and entries, with a configuration in force.
class TestSystem
{
public:
    explicit TestSystem(const SystemShape &shape);
    ~TestSystem();
    TestSystem(const TestSystem &) = delete;
    TestSystem &operator=(const TestSystem &) = delete;

    ChildProcess &log() { return *log_; }
    ChildProcess &vms() { return *vms_; }
    ChildProcess &entry(std::size_t i) { return *entries_.at(i); }
    ChildProcess &agent(std::size_t i) { return *agents_.at(i); }
    ChildProcess &backend(std::size_t i) { return *backends_.at(i); }
    /// The way from all entries to an agent; with SystemShape::links only.
    FlowLink &link(std::size_t i) { return *links_.at(i); }

    std::string callerUrl(std::size_t entry, const std::string &service) const;
    HttpAsk askFor(std::size_t entry, const CallerAsk &ask) const;
    HttpAnswer ask(std::size_t entry, const CallerAsk &ask) const;
    std::future<HttpAnswer> askLater(std::size_t entry, const CallerAsk &ask) const;

    /// Starts them again where they were, after they were killed.
    void restartBackend(std::size_t i);
    void restartAgent(std::size_t i);
    void startEntry();

    /// Waits until homes run new keys: after its start a home refuses those of the first seconds.
    void waitForKeys() const;

    /// Runs of all backend servers that still answer, by "keys" or "tags".
    int runs(const std::string &kind, const std::string &name) const;
    /// Requests that all backend servers together have run.
    int totalRuns() const;
    /// How often the key ran that ran most often, over all backend servers that answer.
    int mostRunsOfAKey() const;
    /// Requests that a backend server holds until release().
    int holding(std::size_t backend) const;
    /// Index of the backend server that holds a request; waits until one does.
    std::size_t waitForHolder() const;
    /// Lets every request go that waits for this name.
    void release(const std::string &name) const;

    /// Appends a change of the configuration and returns its offset.
    std::uint64_t apply(const std::vector<v1::Object> &objects);
    v1::BackendServer declaredBackend(std::size_t i) const;
    /// Waits until every agent and entry that lives has the version in force.
    void waitInForce(std::uint64_t version) const;
    void setLogFaults(const nlohmann::json &faults) const;

    /// Value of a metric that has no labels; nothing is 0.
    static double metric(const ChildProcess &process, const std::string &name);

private:
    std::string path(const std::string &name) const;
    std::string writeSettings(const std::string &name, const nlohmann::json &settings) const;
    void startAgent(std::size_t i, const std::string &listen);
    std::uint64_t declareAll();

    SystemShape shape_;
    std::string folder_;
    std::unique_ptr<ChildProcess> log_;
    std::unique_ptr<ChildProcess> vms_;
    std::vector<std::unique_ptr<ChildProcess>> backends_;
    std::vector<std::unique_ptr<ChildProcess>> agents_;
    std::vector<std::unique_ptr<ChildProcess>> entries_;
    std::vector<std::unique_ptr<FlowLink>> links_;
    /// Offset of the change that last set an object, by its name.
    std::map<std::string, std::uint64_t> versions_;
    std::vector<std::string> agentAddresses_;
    std::vector<std::string> backendAddresses_;
};

/// Asks again and again until the condition holds; gives up after the limit.
bool eventually(const std::function<bool()> &condition, milliseconds limit = milliseconds(10000));

/// A fresh idempotency key.
std::string freshKey();

} // namespace wisteria::sessions
