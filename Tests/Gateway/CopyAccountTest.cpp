#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "Request/CrashEvidence.h"
#include "Request/CrashRecord.h"

using namespace wisteria;

namespace {

constexpr TimePoint start{seconds(100)};

Fingerprint request(std::uint8_t number)
{
    Fingerprint fingerprint;
    fingerprint.bytes[0] = number;
    return fingerprint;
}

const Fingerprint poison = request(1);

ServerCrash crashOf(const std::string &server, TimePoint at, const Fingerprint &running,
                    const std::vector<SendId> &sends)
{
    return {.server = server,
            .startedAt = 1,
            .service = "s",
            .at = at,
            .servers = 3,
            .running = {{.identity = {.request = running}, .sends = sends}}};
}

/// Three copies of the poison request end with three servers at once.
CrashEvidence afterThreeCopies()
{
    CrashEvidence evidence;
    for (SendId i = 0; i < maxEndedCopies; ++i)
        noteCrash(evidence, crashOf("s" + std::to_string(i), start, poison, {i}), start);
    return evidence;
}

/// Backend servers that crash under poison requests and for other reasons, by a seed.
class RandomCrashes
{
public:
    explicit RandomCrashes(std::uint32_t seed) : random_(seed) { }

    /// @return The most sends of one poison request after the third of its copies had ended.
    std::uint32_t mostLateSends()
    {
        constexpr int steps = 60;
        for (int i = 0; i < steps; ++i) {
            now_ += milliseconds(draw(5, 1500));
            crashForAnotherReason();
            for (Poison &one : poisons_)
                send(one);
            judge();
        }
        std::uint32_t most = 0;
        for (const Poison &one : poisons_)
            most = std::max(most, one.lateSends);
        return most;
    }

private:
    struct Poison
    {
        Fingerprint fingerprint;
        std::uint32_t endedCopies = 0;
        std::uint32_t lateSends = 0;
    };

    int draw(int low, int high) { return std::uniform_int_distribution<int>(low, high)(random_); }

    void send(Poison &one)
    {
        const RequestIdentity identity{.request = one.fingerprint};
        const bool restricted = isRestricted(evidence_, one.fingerprint, now_);
        if (suspicionOf(evidence_, identity, now_) == Suspicion::Quarantined
            || (restricted && !hasLastSend(evidence_, one.fingerprint, now_)))
            return;
        std::vector<SendId> sends = {++lastSend_};
        if (restricted)
            noteLastSend(evidence_, one.fingerprint, lastSend_, {.at = now_});
        else if (draw(0, 1) == 1)
            sends.push_back(++lastSend_);
        one.lateSends += one.endedCopies >= maxEndedCopies ? 1 : 0;
        one.endedCopies += static_cast<std::uint32_t>(sends.size());
        noteCrash(evidence_, crashOf(newServer(), now_, one.fingerprint, sends), now_);
    }

    void crashForAnotherReason()
    {
        const int crashes = draw(0, 3);
        for (int i = 0; i < crashes; ++i) {
            const Fingerprint running = request(static_cast<std::uint8_t>(draw(10, 30)));
            noteCrash(evidence_, crashOf(newServer(), now_, running, {++lastSend_}), now_);
            if (draw(0, 1) == 1)
                noteCompletion(evidence_, running, now_ + milliseconds(1), now_);
        }
    }

    void judge()
    {
        while (const auto found = newPoison(evidence_, false, now_))
            quarantine(evidence_, *found, now_ + quarantineTime, now_);
    }

    std::string newServer() { return "s" + std::to_string(++lastServer_); }

    std::mt19937 random_;
    TimePoint now_ = start;
    CrashEvidence evidence_;
    std::vector<Poison> poisons_ = {{request(1)}, {request(2)}, {request(3)}};
    SendId lastSend_ = 0;
    int lastServer_ = 0;
};

} // namespace

// Guards against a bound that other crashes, other poison requests or earlier completions raise.
TEST_CASE("Whatever else crashes servers, a request is sent three times after three of its copies "
          "ended")
{
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        REQUIRE(RandomCrashes(seed).mostLateSends() <= maxLastSends);
    }
}

// Guards against two copies at one server that count as one crash, so that the bound begins late.
TEST_CASE("Copies that end with one server count one by one, whoever reports them")
{
    CrashEvidence evidence;
    noteCrash(evidence, crashOf("a", start, poison, {1}), start);
    noteCrash(evidence, crashOf("a", start + milliseconds(3), poison, {2}), start);
    noteCrash(evidence, crashOf("a", start, poison, {1, 2}), start);
    REQUIRE(endedCopiesOf(evidence, poison, start) == 2);
    REQUIRE_FALSE(isRestricted(evidence, poison, start));
    noteCrash(evidence, crashOf("b", start + seconds(1), poison, {3}), start + seconds(1));
    REQUIRE(isRestricted(evidence, poison, start + seconds(1)));
    REQUIRE(endedCopiesOf(evidence, request(2), start) == 0);
}

// Guards against a restricted request that may be sent on because its sends were told late, twice
// or by a gateway that had just started.
TEST_CASE("What gateways know of the last sends of a request is the same in any order")
{
    const CrashEvidence seen = afterThreeCopies();
    CrashEvidence first = seen;
    CrashEvidence second;
    for (SendId id = 10; id < 10 + maxLastSends; ++id)
        noteLastSend(first, poison, id, {.at = start + milliseconds(id)});
    const TimePoint now = start + seconds(1);
    REQUIRE_FALSE(hasLastSend(first, poison, now));
    const CopyAccount told = accountOf(first, poison, now);
    mergeAccount(second, poison, told, now);
    mergeAccount(second, poison, told, now);
    REQUIRE(isRestricted(second, poison, now));
    REQUIRE_FALSE(hasLastSend(second, poison, now));
    REQUIRE(suspicionOf(second, poison, now) == Suspicion::RepeatedSuspect);
    REQUIRE(withdrawLastSend(first, poison, 10));
    mergeAccount(second, poison, accountOf(first, poison, now), now);
    mergeAccount(second, poison, told, now);
    REQUIRE(hasLastSend(second, poison, now));
    REQUIRE(lastSendsOf(second, poison, now) == maxLastSends - 1);
}

// Guards against crashes that are counted twice by a gateway that saw them and is told of them too.
TEST_CASE("Copies that a gateway has seen end and is told of count once, later ones are added")
{
    CrashEvidence evidence = afterThreeCopies();
    const TimePoint now = start + seconds(3);
    mergeAccount(evidence, poison, {.endedCopies = 4, .countedAt = start + milliseconds(100)}, now);
    REQUIRE(endedCopiesOf(evidence, poison, now) == 4);
    noteCrash(evidence, crashOf("later", now, poison, {20}), now);
    REQUIRE(endedCopiesOf(evidence, poison, now) == 5);
}

// Guards against a sound request that stays restricted.
TEST_CASE("A request is restricted no longer once a backend server completes it")
{
    CrashEvidence evidence = afterThreeCopies();
    const TimePoint sent = start + seconds(1);
    noteLastSend(evidence, poison, 10, {.at = sent});
    const CopyAccount before = accountOf(evidence, poison, sent);
    const TimePoint now = sent + milliseconds(50);
    noteCompletion(evidence, poison, now, now);
    mergeAccount(evidence, poison, before, now);
    REQUIRE_FALSE(isRestricted(evidence, poison, now));
    REQUIRE(lastSendsOf(evidence, poison, now) == 0);
    REQUIRE(suspicionOf(evidence, poison, now) == Suspicion::None);
    REQUIRE(removeExpired(evidence, now).empty());
    REQUIRE(evidence.accounts.empty());
}

// Guards against a completion that other gateways are not told of, since the one that saw it has
// not seen the crashes.
TEST_CASE("A completion counts for a gateway that was only told of the crashes before it")
{
    CrashEvidence evidence;
    const TimePoint now = start + seconds(1);
    mergeAccount(evidence, poison, {.endedCopies = 3, .countedAt = start}, now);
    REQUIRE(isRestricted(evidence, poison, now));
    REQUIRE(noteCompletion(evidence, poison, now, now));
    REQUIRE_FALSE(isRestricted(evidence, poison, now));
    REQUIRE_FALSE(noteCompletion(evidence, poison, now + seconds(1), now + seconds(1)));
}
