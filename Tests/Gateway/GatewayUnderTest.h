#pragma once

#include <future>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <csignal>

#include <arpa/inet.h>
#include <sys/types.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "Gateway/ScriptedAnswers.h"
#include "Gateway/StoreStandIn.h"
#include "Programs/Gateway/Gateway.h"

namespace wisteria::gateway_tests {

/// A new folder under /tmp.
std::string temporaryFolder();

/// Starts a program of the build with no signal blocked, as a shell does.
/// @param settings Path of the settings file.
/// @param output Descriptor that becomes its standard output; inherited from the test if negative.
pid_t startProgram(const std::string &program, const std::string &settings,
                   const std::vector<std::string> &arguments = {}, int output = -1);

/// A port that was free a moment ago, another one at each call.
std::uint16_t freePort();

/// Addresses in the settings file of a program under test.
struct ProgramAddresses
{
    Endpoint store;
    Endpoint callers;
    /// Sidecars only.
    std::optional<Endpoint> engine{};
    /// Port for messages of other processes; a free one if empty.
    std::optional<std::uint16_t> messages{};
};

/// Writes a settings file into a new folder under /tmp.
/// @return The file's path.
std::string writeSettings(const std::string &vmName, const ProgramAddresses &addresses);

/// A route of the configuration.
nlohmann::json routeOf(const std::string &prefix, const std::string &kind,
                       const std::string &service, bool resumable);

/// A configuration with one route of each kind: /once/ (non-idempotent), /again/ (idempotent) and
/// /stream/ (streaming, resumable).
nlohmann::json configurationOf(int version);

/// The entry of a backend server in the list.
nlohmann::json listEntryOf(const std::string &service, const Endpoint &server, int slots = 4,
                           const std::string &state = "ready", const std::string &domain = "a");

/// A gateway in a separate thread of the test process, with a stand-in of the store. Its event loop
/// handles SIGTERM and SIGHUP of the process.
class GatewayUnderTest
{
public:
    explicit GatewayUnderTest(milliseconds gracePeriod = milliseconds(1000))
    {
        settings_.vmName = "front-1";
        settings_.failureDomain = "a";
        settings_.callerEndpoint = Endpoint{INADDR_LOOPBACK, freePort()};
        settings_.readinessEndpoint = Endpoint{INADDR_LOOPBACK, freePort()};
        settings_.metricsEndpoint = Endpoint{INADDR_LOOPBACK, freePort()};
        settings_.vmAddress = {INADDR_LOOPBACK, 0};
        settings_.firstInternalPort = freePort();
        settings_.storeEndpoint = store.endpoint();
        settings_.baseRetries = 200;
        settings_.gracePeriod = gracePeriod;
    }

    /// Starts the gateway. When it is ready, it has read what the store held at the start; it reads
    /// later records with a delay.
    void start()
    {
        if (gateway_)
            return;
        gateway_ = std::make_unique<Gateway>(settings_);
        end_ = std::async(std::launch::async, [this] { return gateway_->run().has_value(); });
    }

    ~GatewayUnderTest()
    {
        if (end_.valid()) {
            ::kill(::getpid(), SIGTERM);
            end_.wait();
        }
    }

    void configure(int version = 1) { store.put("keyed.op", "config", configurationOf(version)); }

    void addBackend(const std::string &id, const std::string &service, const ScriptedServer &server,
                    const std::string &state = "ready", const std::string &domain = "a")
    {
        store.put("keyed.servers", id, listEntryOf(service, server.endpoint(), 4, state, domain));
    }

    bool ready() const
    {
        return callServer(*settings_.readinessEndpoint,
                          "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                   .status
            == 200;
    }

    /// Repeats a request until its answer has the status, because the gateway reads changes of the
    /// store with a delay.
    /// @return The last answer.
    CallResult callUntil(const std::string &request, int status) const
    {
        CallResult result;
        eventually([&] {
            result = callServer(*settings_.callerEndpoint, request);
            return result.status == status;
        });
        return result;
    }

    void waitUntilReady()
    {
        start();
        REQUIRE(eventually([this] { return ready(); }));
    }

    /// Starts the gateway with one backend server and waits until it is ready.
    void startWithBackend(const std::string &id, const std::string &service,
                          const ScriptedServer &server)
    {
        configure();
        addBackend(id, service, server);
        waitUntilReady();
    }

    /// The text of a scrape.
    std::string metrics() const
    {
        return callServer(*settings_.metricsEndpoint, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
            .body;
    }

    const Endpoint &callers() const { return *settings_.callerEndpoint; }

    /// Where the gateway receives datagrams of sidecars and other gateways.
    Endpoint messageEndpoint() const
    {
        return {settings_.vmAddress.ip, settings_.firstInternalPort};
    }

    CallResult call(const std::string &request) const
    {
        return callServer(*settings_.callerEndpoint, request);
    }

    StoreStandIn store;

private:
    platform::ProcessSettings settings_;
    std::unique_ptr<Gateway> gateway_;
    std::future<bool> end_;
};

/// A caller's request with the API key of `configurationOf`.
std::string requestFor(const std::string &target, const std::string &id,
                       const std::string &method = "POST");

} // namespace wisteria::gateway_tests
