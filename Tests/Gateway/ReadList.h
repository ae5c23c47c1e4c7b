#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "Process/EventLog.h"
#include "Programs/Gateway/BackendList.h"

namespace wisteria::gateway_tests {

inline constexpr TimePoint readListStart{seconds(100)};
inline constexpr EntryTimes times{.heartbeatInterval = milliseconds(1200),
                                  .drainTime = milliseconds(2000),
                                  .readInterval = milliseconds(900)};

/// A list of servers in virtual time, as one gateway reads it.
class ReadList
{
public:
    explicit ReadList(const EntryTimes &entryTimes = times) : times_(entryTimes) { }

    /// Appends a heartbeat.
    void write(const std::string &id, const std::string &state = "ready", std::uint64_t born = 1)
    {
        writeWith(id, state, born, ++sequences_[id]);
    }

    void writeWith(const std::string &id, const std::string &state, std::uint64_t born,
                   std::uint64_t sequence)
    {
        const nlohmann::json value = {
            {"service", "s"},      {"address", "10.0.0." + id.substr(2) + ":80"},
            {"zone", "a"},         {"slot_count", 4},
            {"state", state},      {"born", born},
            {"sequence", sequence}};
        append(id, value.dump());
    }

    void append(const std::string &id, const std::string &value)
    {
        records_.push_back({id, value, offset_++});
    }
    void removeEntry(const std::string &id) { append(id, ""); }

    /// Reads what was appended since the last read.
    void read(milliseconds at)
    {
        for (const platform::KeyedRecord &record : std::exchange(records_, {}))
            list_.apply(record, readListStart + at);
        finish(at);
    }

    /// Reads the newest record of each of these servers, with the store's history lost.
    void readNewest(const std::vector<std::string> &ids, milliseconds at)
    {
        records_.clear();
        for (const std::string &id : ids)
            write(id);
        list_.applyAll(std::exchange(records_, {}), readListStart + at);
        finish(at);
    }

    void fail(milliseconds at) { failedCallAt_ = readListStart + at; }

    /// Reads all servers' heartbeats until a time, each interval.
    void runUntil(milliseconds end, const std::vector<std::string> &ids)
    {
        for (; now_ < end; now_ += times_.heartbeatInterval / 2) {
            for (const std::string &id : ids)
                write(id);
            read(now_);
        }
    }

    /// Whether a request may be sent to a server. A connection to it may go on opening as long.
    bool usable(const std::string &id, milliseconds at)
    {
        const TimePoint now = readListStart + at;
        list_.checkTimeouts(now);
        BackendCriteria criteria{.service = "s", .tried = {}, .failureDomain = "a"};
        for (const auto &[other, state] : registry_.backends) {
            if (other != id)
                criteria.tried.push_back(other);
        }
        const bool chosen = chooseBackend(registry_, criteria, now, 0).backend != nullptr;
        REQUIRE(chosen != isLeaving(registry_, id, now));
        return chosen;
    }

    std::size_t rereads() const { return rereads_; }

private:
    void finish(milliseconds at)
    {
        list_.finishRead({.begunAt = readListStart + at,
                          .failedCallAt = failedCallAt_,
                          .endedAt = readListStart + at});
    }

    EntryTimes times_;
    BackendRegistry registry_;
    EventLog log_{"test", {.minLevel = LogLevel::Error}};
    Metrics metrics_;
    std::size_t rereads_ = 0;
    BackendList list_{registry_,
                      log_,
                      metrics_,
                      times_,
                      [](const std::string &, std::uint64_t, TimePoint) {},
                      [this] { ++rereads_; }};
    std::vector<platform::KeyedRecord> records_;
    std::map<std::string, std::uint64_t> sequences_;
    std::uint64_t offset_ = 0;
    milliseconds now_{0};
    TimePoint failedCallAt_;
};

} // namespace wisteria::gateway_tests
