#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

#include "Peer.pb.h"
#include "Process/Time.h"

namespace wisteria {

/// One attempt at a switch, ordered by fencing token and then by number.
struct SwitchKey
{
    std::uint64_t token = 0;
    std::uint32_t number = 0;

    auto operator<=>(const SwitchKey &) const = default;
};

inline SwitchKey keyOf(const v1::SwitchId &id)
{
    return {id.token(), id.number()};
}

inline v1::SwitchId idOf(const SwitchKey &key)
{
    v1::SwitchId id;
    id.set_token(key.token);
    id.set_number(key.number);
    return id;
}

/// Identity of one run of a rank's agent and engine; a restart of either is a new incarnation.
struct Member
{
    std::uint32_t rank = 0;
    std::uint64_t incarnation = 0;

    bool operator==(const Member &) const = default;
};

/// Times of the agreement. Tests shorten them.
struct MapSwitchTiming
{
    /// Validity of a lease, counted by its holder from before the append was sent.
    milliseconds lease{3000};
    milliseconds renewEvery{1000};
    /// What another rank waits beyond a lease before it claims; covers clocks that run unevenly.
    milliseconds leaseMargin{300};
    /// How long a rank stays armed without an outcome before it appends an abort.
    milliseconds armTimeout{400};
    /// How long a coordinator collects promises before it gives an attempt up.
    milliseconds collectTimeout{200};
    /// How long staging may take in all, which the weight store's rate decides.
    milliseconds stageTimeout{120000};
    /// A log that has not answered for this long counts as silent.
    milliseconds logFresh{250};
    /// Pause before a message, order or append without an answer is sent again.
    milliseconds resend{100};
    /// How long an order to the engine may linger and still take effect. The engine's HTTP server
    /// must drop requests of a closed connection within this time.
    milliseconds orderQuarantine{1000};
    /// A hold is a stall, and callers are refused, when it lasts longer than this.
    milliseconds stallVisibleAfter{50};
    /// Steps between the furthest step reported and the one that a switch is armed for.
    std::uint64_t stepsAhead = 4;
    /// Attempts under one token before the coordinator gives a map up.
    std::uint32_t maxAttempts = 8;
};

/// Each guard of the agreement can be switched off by a test that shows what it guards against.
/// Programs use the defaults.
struct MapSwitchGuards
{
    bool checkLease = true; ///< Coordinator checks its lease before each order.
    bool refuseOldToken = true; ///< Ranks refuse orders of a lower fencing token.
    bool collectAllPromises = true; ///< Commit only when every rank is armed.
    bool replayChecksToken = true; ///< A commit counts only under the newest token.
    bool replayChecksMembers = true; ///< A commit counts only if no rank joined since it armed.
    bool firstDecisionWins = true; ///< A commit after an abort has no effect.
    bool holdUntilOutcome = true; ///< An armed rank holds until the stream shows an outcome.
    bool refusePassedStep = true; ///< A rank does not arm for a step that has begun.
    bool joinBeforeRelease = true; ///< A new incarnation reads its join back before it runs steps.
    bool armOnlyWithLog = true; ///< Nothing is armed while the log does not answer.
    bool serialOrders = true; ///< No order to the engine while another may still take effect.
};

} // namespace wisteria
