#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Gateway/ScriptedServer.h"

namespace wisteria::gateway_tests {

/// A stand-in of the platform's store: keyed topics that answer log-newest and log-read.
class StoreStandIn
{
public:
    StoreStandIn();

    void put(const std::string &topic, const std::string &key, const nlohmann::json &value)
    {
        append(topic, key, value.dump());
    }

    /// An empty value removes the key.
    void append(const std::string &topic, const std::string &key, const std::string &value);

    /// Answers 503 to everything from now on, or no longer.
    void away(bool away) { away_ = away; }

    /// Answers no further request on connections that have had one, as if they had fallen silent.
    void silenceKeptConnections() { silent_ = true; }

    Endpoint endpoint() const { return server_.endpoint(); }

private:
    struct Record
    {
        std::string key;
        std::string value;
    };

    void answer(const SeenRequest &request, ScriptPeer &peer);
    std::string newest(const std::string &topic);
    std::string read(const std::string &topic, std::size_t from);

    std::mutex mutex_;
    std::map<std::string, std::vector<Record>> logs_;
    std::atomic<bool> away_ = false;
    std::atomic<bool> silent_ = false;
    ScriptedServer server_;
};

} // namespace wisteria::gateway_tests
