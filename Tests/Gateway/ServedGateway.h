#pragma once

#include <memory>
#include <utility>

#include "Gateway/LoggedGateway.h"

namespace wisteria::gateway_tests {

/// A gateway process before one server of the service "plain".
struct ServedGateway
{
    explicit ServedGateway(ScriptedServer::Script script,
                           const nlohmann::json &configuration = configurationOf(1))
        : server(std::move(script))
    {
        store.put("keyed.op", "config", configuration);
        store.put("keyed.servers", "i-1", listEntryOf("plain", server.endpoint()));
        process = std::make_unique<LoggedGateway>(store.endpoint());
        REQUIRE(process->waitUntilRouting());
    }

    const Endpoint &callers() const { return process->callers(); }

    ScriptedServer server;
    StoreStandIn store;
    std::unique_ptr<LoggedGateway> process;
};

} // namespace wisteria::gateway_tests
