#pragma once

#include <atomic>
#include <utility>

#include "Gateway/GatewayUnderTest.h"
#include "Gateway/LoggedGateway.h"

namespace wisteria::gateway_tests {

/// A gateway process with one sound server of the service "plain", and a store whose answers can be
/// replaced for a while.
class TroubledStore
{
public:
    /// @param trouble Answers calls of the store while it is in trouble.
    explicit TroubledStore(ScriptedServer::Script trouble)
        : trouble_(std::move(trouble)), backend_([](const SeenRequest &request, ScriptPeer &peer) {
              peer.send(sealed(request, 200, "sound"));
          }),
          proxy_([this](const SeenRequest &request, ScriptPeer &peer) { answer(request, peer); }),
          gateway_(proxy_.endpoint())
    {
        store_.put("keyed.op", "config", configurationOf(1));
        store_.put("keyed.servers", "i-1", listEntryOf("plain", backend_.endpoint(), 100));
        REQUIRE(gateway_.waitUntilRouting());
    }

    LoggedGateway &gateway() { return gateway_; }

    void setInTrouble(bool inTrouble) { inTrouble_ = inTrouble; }

    /// Publishes a configuration with another route.
    /// @return Whether the gateway comes to serve it.
    bool followsNextVersion()
    {
        nlohmann::json next = configurationOf(2);
        next["routes"].push_back(routeOf("/new/", "idempotent", "plain", false));
        store_.put("keyed.op", "config", next);
        return eventually([this] {
            return callServer(gateway_.callers(), requestFor("/new/x", "n")).status == 200;
        });
    }

private:
    void answer(const SeenRequest &request, ScriptPeer &peer)
    {
        if (inTrouble_) {
            trouble_(request, peer);
            return;
        }
        // A call of the store has no body, as the gateway appends nothing yet.
        const CallResult answer = callServer(store_.endpoint(), request.head + "\r\n");
        peer.send(plainResponse(answer.status, "", answer.body));
    }

    std::atomic<bool> inTrouble_ = false;
    ScriptedServer::Script trouble_;
    StoreStandIn store_;
    ScriptedServer backend_;
    ScriptedServer proxy_;
    LoggedGateway gateway_;
};

} // namespace wisteria::gateway_tests
