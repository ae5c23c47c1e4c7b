#pragma once

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <sys/types.h>

#include "Gateway/StoreStandIn.h"
#include "Soak/FaultProxy.h"

namespace wisteria::soak {

/// What the backend servers saw of the requests, by attempt id. Thread-safe.
class RunBook
{
public:
    void noteRun(const std::string &id, const std::string &path);
    /// Notes a break of a promise.
    void noteBroken(const std::string &what);

    std::size_t runs(const std::string &id) const;
    std::vector<std::string> broken() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::size_t> runs_;
    std::vector<std::string> broken_;
};

/// One gateway as a process of its own, before proxies of the store.
class GatewayProcess
{
public:
    /// @param program Path of the program.
    GatewayProcess(std::string program, const std::string &folder, int number,
                   const Endpoint &store);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;

    const Endpoint &callers() const { return callers_; }
    bool ready() const;
    bool running() const { return pid_ > 0; }
    void start();
    void signal(int number) const;
    /// Kills it at once and waits until it is gone.
    void kill();
    /// Asks it to stop and waits.
    /// @return Whether it ended by itself in time.
    bool stop();
    /// Whether it ended although nobody asked it to.
    bool endedByItself();

private:
    std::string program_;
    std::string settings_;
    std::string log_;
    Endpoint callers_;
    Endpoint readiness_;
    pid_t pid_ = -1;
};

/// What a backend server in need says in its answers.
enum class Need {
    None,
    Limit, ///< It names a limit for all gateways together.
    Rest, ///< It turns requests away and asks for rest.
};

/// Backend servers, the store, proxies before each of them, and gateways.
class Fleet
{
public:
    Fleet(const std::string &program, const std::string &folder, int gatewayCount);

    RunBook &book() { return book_; }
    std::vector<std::unique_ptr<GatewayProcess>> &gateways() { return gateways_; }
    std::vector<std::unique_ptr<FaultProxy>> &serverLinks() { return serverLinks_; }
    FaultProxy &storeLink() { return *storeLink_; }
    gateway_tests::StoreStandIn &store() { return store_; }
    /// Publishes a version; the key "spare" is in it or not.
    void publish(bool withSpareKey);
    /// Whether the backend servers crash every few streams.
    void setCrashing(bool crashing) { crashing_ = crashing; }
    void setNeed(std::size_t server, Need need) { needs_.at(server) = need; }
    /// A server says that it leaves, or comes back.
    void report(std::size_t server, bool draining);

private:
    void answer(std::size_t server, const gateway_tests::SeenRequest &request,
                gateway_tests::ScriptPeer &peer);
    void stream(const gateway_tests::SeenRequest &request, const std::string &fields,
                gateway_tests::ScriptPeer &peer);

    RunBook book_;
    std::array<std::atomic<Need>, 4> needs_{};
    std::atomic<bool> crashing_ = false;
    std::atomic<unsigned> streams_ = 0;
    int version_ = 0;
    gateway_tests::StoreStandIn store_;
    std::vector<std::unique_ptr<gateway_tests::ScriptedServer>> servers_;
    std::vector<std::unique_ptr<FaultProxy>> serverLinks_;
    std::unique_ptr<FaultProxy> storeLink_;
    std::vector<std::unique_ptr<GatewayProcess>> gateways_;
};

} // namespace wisteria::soak
