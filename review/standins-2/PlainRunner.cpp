#include "PlainRunner.h"

namespace review {

PlainRunner::PlainRunner(const std::string &ip, std::string id, Store &store, Run run)
    : ip_(ip), id_(std::move(id)), store_(store), run_(std::move(run))
{
    start();
}

PlainRunner::~PlainRunner()
{
    crash();
}

void PlainRunner::start()
{
    born_ = std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
    sequence_ = 0;
    server_ = std::make_unique<Server>(ip_, port_, [this](Peer &peer) { serve(peer); });
    port_ = server_->port();
    alive_ = true;
    beat();
}

void PlainRunner::crash()
{
    alive_ = false;
    crashedAt_ = Clock::now();
    server_.reset();
}

void PlainRunner::beat()
{
    if (!alive_)
        return;
    const std::string address = ip_ + ":" + std::to_string(port_);
    store_.put("keyed.servers", id_,
               entryOf("locker-api", address, "ready", ++sequence_, born_).dump());
}

void PlainRunner::expire()
{
    store_.put("keyed.servers", id_, "");
}

void PlainRunner::serve(Peer &peer)
{
    while (const auto request = peer.read(milliseconds(30000))) {
        const std::string expected = request->field("Wisteriawind-Expect-Instance");
        if (!expected.empty() && expected != id_) {
            peer.send(response(
                421, "Misdirected Request",
                {{"Wisteriawind-Attempt-Id", request->field("Wisteriawind-Attempt-Id")}}, ""));
            return;
        }
        ++inFlight_;
        run_(*this, peer, *request);
        --inFlight_;
    }
}

std::string plainConfiguration(int version, std::size_t bodyBytes, const std::string &tenant)
{
    return Json({{"version", version},
                 {"routes", {routeOf("/locker/", "idempotent", "locker-api", 800, 2)}},
                 {"services",
                  {{{"name", "locker-api"},
                    {"health_check_path", "/health"},
                    {"max_connections", 110}}}},
                 {"limits",
                  {{"max_header_bytes", 16384},
                   {"max_body_bytes", bodyBytes},
                   {"header_timeout_ms", 3000},
                   {"idle_timeout_ms", 15000}}},
                 {"tenants", {{{"name", tenant}, {"api_keys", {"key-one"}}}}}})
        .dump();
}

} // namespace review
