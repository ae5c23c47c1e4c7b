// Stand-ins of the platform for the demo: a store, two model engines and one plain service on
// loopback. Prints "ready store=ADDRESS" and reads commands from standard input:
//   route        publishes version 2 of the configuration, with one more route; works once
//   drain ID     marks a backend server as draining in the store; valid only for model-1
//   runs         prints how often each backend server ran a request

#include <iostream>

#include <poll.h>

#include "Gateway/ScriptedAnswers.h"
#include "Gateway/StoreStandIn.h"

using namespace wisteria;
using namespace wisteria::gateway_tests;

namespace {

/// Streams six events. The first run is cut off within its third event, as by a crash.
void streamAnswer(const SeenRequest &request, ScriptPeer &peer, std::atomic<bool> &crashes)
{
    const std::string last = request.header("Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    peer.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + ownFields(request)
              + "Transfer-Encoding: chunked\r\n\r\n");
    constexpr int events = 6;
    constexpr int pause = 60;
    for (int id = first; id <= events; ++id) {
        if (id == 3 && crashes.exchange(false)) {
            peer.send(chunk("id: 3\ndata: bolt M8"));
            peer.reset();
            return;
        }
        peer.send(chunk("id: " + std::to_string(id) + "\ndata: bolt M8 line " + std::to_string(id)
                        + "\n\n"));
        ::poll(nullptr, 0, pause);
    }
    peer.send("0\r\n\r\n");
}

nlohmann::json routeOf(const std::string &prefix, const std::string &kind,
                       const std::string &service)
{
    return {{"name", prefix},    {"hostname", "demo.example"}, {"path_prefix", prefix},
            {"kind", kind},      {"timeout_ms", 5000},         {"target_latency_ms", 400},
            {"max_attempts", 2}, {"service", service},         {"resumable", kind == "streaming"},
            {"public", false}};
}

void publish(StoreStandIn &store, int version, const std::vector<nlohmann::json> &routes)
{
    store.put("keyed.op", "config",
              {{"version", version},
               {"routes", routes},
               {"services", nlohmann::json::array()},
               {"tenants", {{{"name", "north-wholesale"}, {"api_keys", {"demo-key"}}}}}});
}

void report(StoreStandIn &store, const std::string &id, const std::string &service,
            const ScriptedServer &server, const std::string &state)
{
    store.put("keyed.servers", id,
              {{"service", service},
               {"address", toText(server.endpoint())},
               {"zone", "domain-a"},
               {"slot_count", 4},
               {"state", state}});
}

} // namespace

int main()
{
    std::atomic<bool> crashes = true;
    const auto model = [&crashes](const SeenRequest &request, ScriptPeer &peer) {
        streamAnswer(request, peer, crashes);
    };
    ScriptedServer first(model);
    ScriptedServer second(model);
    ScriptedServer orders([](const SeenRequest &request, ScriptPeer &peer) {
        peer.send(
            plainResponse(200, ownFields(request),
                          "order line taken for " + request.header("Wisteriawind-Tenant") + "\n"));
    });
    StoreStandIn store;
    std::vector<nlohmann::json> routes = {routeOf("/quotes/", "streaming", "model"),
                                          routeOf("/orders/", "non_idempotent", "orders")};
    publish(store, 1, routes);
    report(store, "model-1", "model", first, "ready");
    report(store, "model-2", "model", second, "ready");
    report(store, "orders-1", "orders", orders, "ready");
    std::cout << "ready store=" << toText(store.endpoint()) << std::endl;
    for (std::string line; std::getline(std::cin, line);) {
        if (line == "route") {
            routes.push_back(routeOf("/stock/", "idempotent", "orders"));
            publish(store, 2, routes);
        } else if (line.starts_with("drain ")) {
            report(store, line.substr(6), "model", first, "draining");
        } else if (line == "runs") {
            std::cout << "model-1 " << first.count("/") << " model-2 " << second.count("/")
                      << " orders-1 " << orders.count("/") << std::endl;
        }
    }
    return 0;
}
