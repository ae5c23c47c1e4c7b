#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "Programs/Gateway/PoisonGuard.h"

using namespace wisteria;

namespace {

constexpr TimePoint start{seconds(100)};
constexpr milliseconds step{10};
const std::string service = "model";
const RequestIdentity popular{.request = {.bytes = {1}}};

/// Gateways that hold a request in flight at a crash of its group and send it again, in virtual
/// time. The group takes no work for a while after a crash.
class GuardedGateways
{
public:
    explicit GuardedGateways(milliseconds closedTime) : opensAt_(start + closedTime)
    {
        for (std::size_t i = 0; i < count; ++i)
            guards_.push_back(std::make_unique<PoisonGuard>(log_, linksOf(i)));
    }

    /// Each gateway has copies at the server that crashes, three in all.
    void crash()
    {
        const InFlightRequest running{.identity = popular, .sentAt = now_, .sends = {1, 2, 3}};
        guards_.front()->noteCrash({.server = "i-0",
                                    .startedAt = 1,
                                    .service = service,
                                    .at = now_,
                                    .servers = 3,
                                    .running = {running}},
                                   now_);
    }

    /// Sends the request at each gateway whenever its guard allows it.
    void runFor(milliseconds time)
    {
        for (const TimePoint end = now_ + time; now_ < end; now_ += step) {
            for (const auto &guard : guards_) {
                sendIfAllowed(*guard);
                guard->checkTimeouts(now_);
            }
        }
    }

    std::size_t refusedSends() const { return refused_; }
    std::size_t completedSends() const { return completed_; }

    bool isQuarantined() const
    {
        bool quarantined = false;
        for (const auto &guard : guards_)
            quarantined = quarantined || guard->quarantineReason(popular, now_).has_value();
        return quarantined;
    }

private:
    static constexpr std::size_t count = 2;

    PoisonGuardLinks linksOf(std::size_t from)
    {
        const auto send = [this, from](const GroupMessage &message) {
            for (std::size_t to = 0; to < guards_.size(); ++to) {
                if (to != from)
                    receive(*guards_[to], message);
            }
        };
        const auto sendMany = [send](const std::vector<GroupMessage> &messages) {
            for (const GroupMessage &message : messages)
                send(message);
        };
        return {.evidence = {send, sendMany},
                .changed = [] {},
                .quarantined = [](const Fingerprint &, const KeptQuarantine &, bool) {},
                .evidenceChanged = [] {},
                .released = [](const Fingerprint &) {},
                .peersKnown = [] { return true; }};
    }

    void receive(PoisonGuard &guard, const GroupMessage &message)
    {
        if (const auto *crash = std::get_if<CrashReport>(&message))
            guard.receive(*crash, false, now_);
        else if (const auto *completion = std::get_if<CompletionReport>(&message))
            guard.receive(*completion, now_);
        else if (const auto *copies = std::get_if<CopyReport>(&message))
            guard.receive(*copies, now_);
        else if (const auto *claim = std::get_if<ClaimMessage>(&message))
            guard.receive(*claim, now_);
    }

    void sendIfAllowed(PoisonGuard &guard)
    {
        if (guard.mayRunAt(popular, service, start, now_) > now_
            || guard.claimRun(popular, service, now_) > now_)
            return;
        const SendId id = guard.newSendId();
        const auto suspects = guard.noteRunBegin(popular, service, id, {}, now_);
        const bool open = now_ >= opensAt_;
        if (open)
            guard.noteCompleted(popular, service, {}, now_, now_);
        guard.noteRunEnd(suspects, id, open ? RunEnd::Completed : RunEnd::NotExecuted, now_);
        ++(open ? completed_ : refused_);
    }

    EventLog log_{"test", {.minLevel = LogLevel::Error}};
    std::vector<std::unique_ptr<PoisonGuard>> guards_;
    TimePoint now_ = start;
    TimePoint opensAt_;
    std::size_t refused_ = 0;
    std::size_t completed_ = 0;
};

} // namespace

// Guards against a sound request whose last sends are all spent at a group that takes no work yet.
TEST_CASE(
    "A restricted request that a closed group refuses is not sent until the group may be open")
{
    const milliseconds closedTime(GENERATE(600, 1200, 2400, 3000));
    CAPTURE(closedTime.count());
    GuardedGateways gateways(closedTime);
    gateways.crash();
    gateways.runFor(closedTime + seconds(2));
    CHECK_FALSE(gateways.isQuarantined());
    CHECK(gateways.refusedSends() < maxLastSends);
    CHECK(gateways.completedSends() > 0);
}

// Guards against refused sends that are not counted, with which a poison request would reach
// servers more often than a restricted one may.
TEST_CASE("A restricted request that a group always refuses is sent three times over all gateways")
{
    GuardedGateways gateways(std::chrono::hours(1));
    gateways.crash();
    gateways.runFor(seconds(60));
    CHECK(gateways.refusedSends() == maxLastSends);
    CHECK(gateways.completedSends() == 0);
}
