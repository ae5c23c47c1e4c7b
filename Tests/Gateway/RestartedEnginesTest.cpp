#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "Process/EventLog.h"
#include "Programs/Gateway/BackendList.h"
#include "Request/BackendRegistry.h"

using namespace wisteria;

namespace {

constexpr TimePoint start{seconds(100)};
constexpr milliseconds pollInterval{1350};
constexpr std::uint32_t slots = 10;
const BackendCriteria groupCriteria{
    .service = "model", .tried = {}, .maxLoad = 2.0, .inGroup = true, .failureDomain = "a"};

std::string entryText(const std::string &service, std::uint32_t rank)
{
    return R"({"service":")" + service + R"(","address":"10.0.)" + std::to_string(rank / 200) + "."
        + std::to_string(rank % 200) + R"(:80","zone":"a","slot_count":)" + std::to_string(slots)
        + R"(,"state":"ready"})";
}

/// A gateway's view of a service whose engines all restart under new ids at their old addresses.
/// The store numbers its records in the order in which they are written.
class GroupRestart
{
public:
    explicit GroupRestart(std::uint32_t ranks) : ranks_(ranks)
    {
        for (std::uint32_t rank = 0; rank < ranks_; ++rank)
            write("old-" + std::to_string(rank), entryText("model", rank));
        readStore(start);
    }

    /// Writes the first records of the new engines; the gateway has not read them yet.
    void registerNewEngines(const std::string &service = "model")
    {
        for (std::uint32_t rank = 0; rank < ranks_; ++rank)
            write("new-" + std::to_string(rank), entryText(service, rank));
    }

    void write(const std::string &id, const std::string &value)
    {
        unread_.push_back({id, value, nextOffset_++});
    }

    /// The gateway reads all records of the store, in a read that began at `begunAt`.
    void readStore(TimePoint begunAt)
    {
        for (const auto &record : unread_)
            list_.apply(record, begunAt);
        unread_.clear();
        noteListRead(registry_, begunAt);
    }

    /// Sidecars of all addresses report whether the group accepts work.
    void reportLoads(bool open, TimePoint now)
    {
        for (auto &[id, state] : registry_.backends) {
            const BackendLoad load{.receivedAt = now, .open = open};
            if (noteGroupOpening(registry_, state, load))
                listReadRequested_ = true;
            noteLoad(state, load, 0.5);
        }
    }

    /// Sends as many requests as the group has ranks.
    /// @return The number of requests sent to an engine that is gone.
    std::uint32_t countSendsToGone(TimePoint now)
    {
        std::uint32_t gone = 0;
        for (std::uint32_t i = 0; i < ranks_; ++i) {
            const BackendChoice choice =
                chooseBackend(registry_, groupCriteria, now, i / static_cast<double>(ranks_));
            if (choice.backend == nullptr)
                continue;
            ++choice.backend->ownInFlight;
            gone += choice.backend->entry.id.starts_with("old-") ? 1 : 0;
        }
        return gone;
    }

    BackendRegistry &registry() { return registry_; }
    bool listReadRequested() const { return listReadRequested_; }

private:
    std::uint32_t ranks_;
    BackendRegistry registry_;
    EventLog log_{"test", {.minLevel = LogLevel::Error}};
    Metrics metrics_;
    BackendList list_{registry_, log_, metrics_, {.readInterval = pollInterval}};
    std::vector<platform::KeyedRecord> unread_;
    std::uint64_t nextOffset_ = 0;
    bool listReadRequested_ = false;
};

} // namespace

// Guards against requests refused after a power loss because all their sends go to engines that
// are gone.
TEST_CASE("After a restart of all engines no request is sent to an engine that is gone")
{
    const std::uint32_t ranks = GENERATE(63U, 192U);
    GroupRestart restart(ranks);
    restart.reportLoads(false, start + seconds(1));
    restart.registerNewEngines();
    // The group opens before the list is read again.
    restart.reportLoads(true, start + milliseconds(1500));
    REQUIRE(restart.listReadRequested());
    REQUIRE(restart.countSendsToGone(start + milliseconds(1501)) == 0);
    restart.readStore(start + milliseconds(1502));
    REQUIRE(restart.countSendsToGone(start + milliseconds(1510)) == 0);
    // The new engines count as open because of the reports of their addresses.
    REQUIRE(chooseBackend(restart.registry(), groupCriteria, start + milliseconds(1510), 0).backend
            != nullptr);
}

// Guards against a service without any usable engine while the store does not answer.
TEST_CASE("A group that opens is used after a short wait even if the list cannot be read")
{
    GroupRestart restart(63);
    restart.reportLoads(false, start + seconds(1));
    restart.reportLoads(true, start + milliseconds(1500));
    REQUIRE(chooseBackend(restart.registry(), groupCriteria, start + milliseconds(1500), 0).reason
            == NoBackendReason::NotOpen);
    REQUIRE(chooseBackend(restart.registry(), groupCriteria,
                          start + milliseconds(1500) + openingReadWait, 0)
                .backend
            != nullptr);
}

// Guards against sends to an address that a server of another service has by now.
TEST_CASE("An entry whose address belongs to a newer server of another service is not used")
{
    GroupRestart restart(63);
    restart.reportLoads(true, start);
    restart.registerNewEngines("other");
    restart.readStore(start + milliseconds(100));
    REQUIRE(restart.countSendsToGone(start + milliseconds(100)) == 0);
    REQUIRE(chooseBackend(restart.registry(), groupCriteria, start + milliseconds(100), 0).reason
            == NoBackendReason::NoneAvailable);
}

// Guards against a healthy engine that is never used again after a late record of one that is gone.
TEST_CASE("Of two entries with one address and no start time the one written last is valid")
{
    GroupRestart restart(1);
    restart.registerNewEngines();
    restart.readStore(start);
    REQUIRE(restart.registry().backends.at("old-0").replaced);
    restart.write("old-0", entryText("model", 0));
    restart.readStore(start);
    restart.write("new-0", entryText("model", 0));
    restart.readStore(start);
    REQUIRE(restart.registry().backends.at("old-0").replaced);
    REQUIRE_FALSE(restart.registry().backends.at("new-0").replaced);
}

// Guards against sends to an engine that is gone after the store's history is read again.
TEST_CASE("A record that is read again does not make a replaced engine usable")
{
    GroupRestart restart(1);
    noteReplaced(restart.registry().backends.at("old-0"));
    EventLog log("test", {.minLevel = LogLevel::Error});
    Metrics metrics;
    BackendList list(restart.registry(), log, metrics, {.readInterval = pollInterval});
    list.apply({"old-0", entryText("model", 0), 0}, start);
    REQUIRE(restart.registry().backends.at("old-0").replaced);
    list.apply({"old-0", entryText("model", 0), 7}, start);
    REQUIRE_FALSE(restart.registry().backends.at("old-0").replaced);
}

// Guards against one read of the list for each rank that reports an open group.
TEST_CASE("A group whose ranks open one after the other causes one read of the list")
{
    GroupRestart restart(63);
    restart.reportLoads(false, start + seconds(1));
    std::uint32_t readRequests = 0;
    for (auto &[id, state] : restart.registry().backends) {
        const BackendLoad load{.receivedAt = start + milliseconds(1500 + readRequests),
                               .open = true};
        readRequests += noteGroupOpening(restart.registry(), state, load) ? 1 : 0;
        noteLoad(state, load, 0.5);
    }
    REQUIRE(readRequests == 1);
}
