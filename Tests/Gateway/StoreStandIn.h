#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Gateway/ScriptedServer.h"
#include "Process/Time.h"

namespace wisteria::gateway_tests {

/// What becomes of a call of the store.
enum class StoreFault {
    None, ///< It is answered as usual.
    TooManyCalls, ///< It gets status 429.
    Unavailable, ///< It gets status 503.
    Lost, ///< It is never answered.
    Broken, ///< It is carried out, and the bytes that come back are no answer.
};

/// A stand-in of the platform's store: keyed topics with the calls log-newest, log-read and
/// log-append. A read that waits is held until there is a record or its wait ends.
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

    /// Appends a record. An empty value removes the key.
    void append(const std::string &topic, const std::string &key, const std::string &value);

    /// Deletes the records' history and keeps the newest record of each key. A read from an earlier
    /// offset is answered with 410.
    void forgetHistory();

    /// Sets whether every request from now on is answered with 503.
    void setUnavailable(bool unavailable) { unavailable_ = unavailable; }

    /// Decides the fault of a call by its target.
    using FaultRule = std::function<StoreFault(const std::string &target)>;
    /// Applies a rule to every call from now on; an empty one ends all faults of earlier rules.
    void setFaults(FaultRule rule);

    /// Answers 503 to clients that append records.
    void refuseAppends() { refusesAppends_ = true; }

    /// From now on answers only the first request of each connection, as if the kept connections
    /// had failed silently. Reads that are held now get no answer.
    void silenceKeptConnections() { keptConnectionsSilent_ = true; }

    /// While set, no request is answered, not even later; a read whose wait ends then gets none
    /// either.
    void setSilent(bool silent) { silent_ = silent; }

    Endpoint endpoint() const { return server_.endpoint(); }

    /// Number of requests to read the log of a topic so far.
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
    StoreFault faultOf(const std::string &target);
    /// Appends a record in the format of a client's call.
    /// @param at Offset at which the log must end; empty for any.
    /// @return Whether it ended there.
    bool appendRecord(const std::string &topic, const std::string &record, const std::string &at);
    /// Whether a request that was held is left without an answer at the end of its wait.
    bool isDropped(const SeenRequest &request, bool silentAtArrival) const;
    void waitForRecord(const std::string &topic, std::size_t from, milliseconds wait);
    std::string newest(const std::string &topic);
    /// Returns the answer to a read of the log.
    std::string read(const std::string &topic, std::size_t from);

    std::mutex mutex_;
    std::condition_variable appended_;
    bool stopping_ = false;
    std::map<std::string, std::vector<Record>> logs_;
    /// Oldest offset of each topic that can still be read.
    std::map<std::string, std::size_t> oldest_;
    FaultRule faults_;
    std::atomic<std::size_t> brokenAnswers_ = 0;
    std::atomic<bool> unavailable_ = false;
    std::atomic<bool> refusesAppends_ = false;
    std::atomic<bool> keptConnectionsSilent_ = false;
    std::atomic<bool> silent_ = false;
    ScriptedServer server_;
};

} // namespace wisteria::gateway_tests
