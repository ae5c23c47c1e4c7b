#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Gateway/ScriptedServer.h"
#include "Process/Time.h"

namespace wisteria::gateway_tests {

/// A stand-in of the platform's store: keyed topics that answer log-newest, log-read and
/// log-append. It holds a read that waits until there is a record.
class StoreStandIn
{
public:
    StoreStandIn();
    ~StoreStandIn();
    StoreStandIn(const StoreStandIn &) = delete;
    StoreStandIn &operator=(const StoreStandIn &) = delete;

    void put(const std::string &topic, const std::string &key, const nlohmann::json &value)
    {
        append(topic, key, value.dump());
    }

    /// An empty value removes the key.
    void append(const std::string &topic, const std::string &key, const std::string &value);

    /// Answers 503 to everything from now on, or no longer.
    void away(bool away) { away_ = away; }

    /// Refuses records that clients append.
    void refuseAppends() { refusesAppends_ = true; }

    /// Answers no further request on connections that have had one, as if they had fallen silent.
    void silenceKeptConnections() { silent_ = true; }

    /// Leaves what arrives from now on without an answer, also later, or no longer.
    void mute(bool mute) { mute_ = mute; }

    Endpoint endpoint() const { return server_.endpoint(); }

    /// Reads of the log of a topic that have arrived.
    std::size_t readsOf(const std::string &topic) const
    {
        return server_.count("/log-read?topic=" + topic);
    }

private:
    struct Record
    {
        std::string key;
        std::string value;
    };

    void answer(const SeenRequest &request, ScriptPeer &peer);
    /// Takes one record of a call as a client appends it.
    void appendRecord(const std::string &topic, const std::string &record);
    /// Whether a request that was not dropped on its arrival is by the end of its wait.
    bool dropped(const SeenRequest &request, bool silentAtArrival) const;
    void waitForRecord(const std::string &topic, std::size_t from, milliseconds wait);
    std::string newest(const std::string &topic);
    std::string read(const std::string &topic, std::size_t from);

    std::mutex mutex_;
    std::condition_variable appended_;
    bool stopping_ = false;
    std::map<std::string, std::vector<Record>> logs_;
    std::atomic<bool> away_ = false;
    std::atomic<bool> refusesAppends_ = false;
    std::atomic<bool> silent_ = false;
    std::atomic<bool> mute_ = false;
    ScriptedServer server_;
};

} // namespace wisteria::gateway_tests
