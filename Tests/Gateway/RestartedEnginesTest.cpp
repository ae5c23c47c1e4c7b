#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "Process/EventLog.h"
#include "Programs/Gateway/BackendList.h"
#include "Request/BackendRegistry.h"

using namespace wisteria;

namespace {

constexpr TimePoint start{seconds(100)};
constexpr milliseconds readPause{1350};
constexpr std::uint32_t slots = 10;
const BackendCriteria ranksCriteria{
    .service = "model", .tried = {}, .maxLoad = 2.0, .inGroup = true, .failureDomain = "a"};

std::string entryText(const std::string &service, std::uint32_t place)
{
    return R"({"service":")" + service + R"(","address":"10.0.)" + std::to_string(place / 200) + "."
        + std::to_string(place % 200) + R"(:80","zone":"a","slot_count":)" + std::to_string(slots)
        + R"(,"state":"ready"})";
}

/// A gateway's view of a service whose engines all start again, under other ids, at the addresses
/// that they had. The store's records are numbered as they are written.
class Restart
{
public:
    explicit Restart(std::uint32_t ranks) : ranks_(ranks)
    {
        for (std::uint32_t place = 0; place < ranks_; ++place)
            write("old-" + std::to_string(place), entryText("model", place));
        readStore(start);
    }

    /// Engines of the new group write their first records; the gateway has not read them yet.
    void registerNew(const std::string &service = "model")
    {
        for (std::uint32_t place = 0; place < ranks_; ++place)
            write("new-" + std::to_string(place), entryText(service, place));
    }

    void write(const std::string &id, const std::string &value)
    {
        unread_.push_back({id, value, nextOffset_++});
    }

    /// The gateway reads what the store has, a read that began at this time.
    void readStore(TimePoint begunAt)
    {
        for (const auto &record : unread_)
            list_.apply(record, begunAt);
        unread_.clear();
        noteListRead(registry_, begunAt);
    }

    /// Sidecars tell at each address whether the group takes work.
    void tell(bool open, TimePoint now)
    {
        for (auto &[id, state] : registry_.backends) {
            const BackendLoad load{.at = now, .open = open};
            if (noteOpening(registry_, state, load))
                listWanted_ = true;
            noteLoad(state, load, 0.5);
        }
    }

    /// Places as many requests as the group has ranks.
    /// @return Those that were sent to an engine that is gone.
    std::uint32_t sendToGone(TimePoint now)
    {
        std::uint32_t gone = 0;
        for (std::uint32_t i = 0; i < ranks_; ++i) {
            const BackendChoice choice =
                chooseBackend(registry_, ranksCriteria, now, i / static_cast<double>(ranks_));
            if (choice.backend == nullptr)
                continue;
            ++choice.backend->ownInFlight;
            gone += choice.backend->entry.id.starts_with("old-") ? 1 : 0;
        }
        return gone;
    }

    BackendRegistry &registry() { return registry_; }
    bool listWanted() const { return listWanted_; }

private:
    std::uint32_t ranks_;
    BackendRegistry registry_;
    EventLog log_{"test", {.least = LogLevel::Error}};
    BackendList list_{registry_, log_, readPause};
    std::vector<platform::KeyedRecord> unread_;
    std::uint64_t nextOffset_ = 0;
    bool listWanted_ = false;
};

} // namespace

// Guards against requests refused after a loss of power, each sent twice to engines that are gone.
TEST_CASE("After a restart of all engines no request goes to one that is gone")
{
    const std::uint32_t ranks = GENERATE(63U, 192U);
    Restart restart(ranks);
    restart.tell(false, start + seconds(1));
    restart.registerNew();
    // The group opens before the list is read again.
    restart.tell(true, start + milliseconds(1500));
    REQUIRE(restart.listWanted());
    REQUIRE(restart.sendToGone(start + milliseconds(1501)) == 0);
    restart.readStore(start + milliseconds(1502));
    REQUIRE(restart.sendToGone(start + milliseconds(1510)) == 0);
    // The new engines are known to be open by what was told of their addresses.
    REQUIRE(chooseBackend(restart.registry(), ranksCriteria, start + milliseconds(1510), 0).backend
            != nullptr);
}

// Guards against a service without any engine while the store is silent: nothing new can be read.
TEST_CASE("A group that opens is used after a moment although the list can't be read")
{
    Restart restart(63);
    restart.tell(false, start + seconds(1));
    restart.tell(true, start + milliseconds(1500));
    REQUIRE(chooseBackend(restart.registry(), ranksCriteria, start + milliseconds(1500), 0).reason
            == NoBackendReason::NotOpen);
    REQUIRE(chooseBackend(restart.registry(), ranksCriteria,
                          start + milliseconds(1500) + openingReadWait, 0)
                .backend
            != nullptr);
}

// Guards against sends to an address that another service has by now.
TEST_CASE("An entry whose address another service's server has taken is left out")
{
    Restart restart(63);
    restart.tell(true, start);
    restart.registerNew("other");
    restart.readStore(start + milliseconds(100));
    REQUIRE(restart.sendToGone(start + milliseconds(100)) == 0);
    REQUIRE(chooseBackend(restart.registry(), ranksCriteria, start + milliseconds(100), 0).reason
            == NoBackendReason::Unknown);
}

// Guards against a sound engine left out for good after a late record of one that is gone.
TEST_CASE("Of two entries at one address the one that was written last stands")
{
    Restart restart(1);
    restart.registerNew();
    restart.readStore(start);
    REQUIRE(restart.registry().backends.at("old-0").replaced);
    restart.write("old-0", entryText("model", 0));
    restart.readStore(start);
    restart.write("new-0", entryText("model", 0));
    restart.readStore(start);
    REQUIRE(restart.registry().backends.at("old-0").replaced);
    REQUIRE_FALSE(restart.registry().backends.at("new-0").replaced);
}

// Guards against an engine that is gone being tried again when the store's history is read anew.
TEST_CASE("A record that is read once more tells nothing new of an engine that is gone")
{
    Restart restart(1);
    noteReplaced(restart.registry().backends.at("old-0"));
    EventLog log("test", {.least = LogLevel::Error});
    BackendList list(restart.registry(), log, readPause);
    list.apply({"old-0", entryText("model", 0), 0}, start);
    REQUIRE(restart.registry().backends.at("old-0").replaced);
    list.apply({"old-0", entryText("model", 0), 7}, start);
    REQUIRE_FALSE(restart.registry().backends.at("old-0").replaced);
}

// Guards against a read of the list by each gateway whenever one rank of an open group reports.
TEST_CASE("A group that opens rank by rank asks for the list once")
{
    Restart restart(63);
    restart.tell(false, start + seconds(1));
    std::uint32_t asked = 0;
    for (auto &[id, state] : restart.registry().backends) {
        const BackendLoad load{.at = start + milliseconds(1500 + asked), .open = true};
        asked += noteOpening(restart.registry(), state, load) ? 1 : 0;
        noteLoad(state, load, 0.5);
    }
    REQUIRE(asked == 1);
}
