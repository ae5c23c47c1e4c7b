#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Process/EventLog.h"
#include "Process/Metrics.h"
#include "Request/CrashEvidence.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// How long a gateway waits for other gateways' reports about a crash: a probe and a message.
constexpr milliseconds reportSettleTime{150};

/// What a PoisonGuard needs of the gateway around it.
struct PoisonGuardLinks
{
    /// Sends a message to all other gateways that are known.
    std::function<void(const GroupMessage &)> sendToAll;
    /// Sends a message to one of them, chosen at random.
    std::function<void(const GroupMessage &)> sendToOne;
    /// Requests that wait may now be sent, or have to be refused.
    std::function<void()> changed;
    /// The store has to keep, or to extend, the quarantine of a request.
    /// @param foundHere Whether the last of its crashes was seen by this gateway.
    std::function<void(const Fingerprint &, std::uint32_t crashes, bool foundHere)>
        quarantined;
    /// The quarantine of a request has ended.
    std::function<void(const Fingerprint &)> released;
};

/// Keeps poison requests, which crash each backend server that runs them, from taking down more
/// than a few: exchanges crashes with the other gateways, and tells which requests are suspect or
/// quarantined. The decisions are those of CrashEvidence.
class PoisonGuard
{
public:
    PoisonGuard(EventLog &log, PoisonGuardLinks links);
    PoisonGuard(const PoisonGuard &) = delete;
    PoisonGuard &operator=(const PoisonGuard &) = delete;

    /// Whether a request may be suspect, so that it is worth computing its fingerprint.
    bool hasSuspects() const { return wisteria::hasSuspects(evidence_); }
    Suspicion suspicionOf(const Fingerprint &request, TimePoint now) const;

    /// When a suspect request may be sent, if a backend server has a slot for it; TimePoint::max()
    /// while it runs somewhere for this gateway. Requests that are not suspect may be sent at once.
    ///
    /// One copy runs at a time, and after a repeated crash the next one waits until the other
    /// gateways' reports have arrived. Otherwise a caller that sends a poison request many times at
    /// once would crash a server with each copy.
    TimePoint mayRunAt(const Fingerprint &request, TimePoint now) const;
    void noteRunBegin(const Fingerprint &request);
    void noteRunEnd(const Fingerprint &request);

    /// Adds a crash that this gateway detected, and reports it to the others.
    void noteCrash(const ServerCrash &crash, TimePoint now);
    /// Records that a backend server ran a request to its end.
    void noteCompleted(const Fingerprint &request, TimePoint now);
    /// Records that a caller sent a quarantined request again.
    void noteRefusal(const Fingerprint &request, TimePoint now);

    /// Applies a record of the store: the request is quarantined for this time, or no longer.
    void applyQuarantine(const Fingerprint &request, std::optional<milliseconds> left,
                         TimePoint now);

    void receive(const CrashReport &report, TimePoint now);
    void receive(const CompletionReport &report, TimePoint now);

    /// Repeats messages, and forgets what has expired.
    void checkTimeouts(TimePoint now);
    /// Sets the gauges of a scrape.
    void updateMetrics(Metrics &metrics) const;

private:
    /// A message that was sent once and is sent again.
    struct RepeatedMessage
    {
        TimePoint firstSentAt;
        std::variant<CrashReport, CompletionReport> message;
    };

    void judge(bool crashSeenHere, TimePoint now);
    void sendToAllTwice(const std::variant<CrashReport, CompletionReport> &message, TimePoint now);
    void sendRepeats(TimePoint now);
    void gossip(TimePoint now);

    EventLog &log_;
    PoisonGuardLinks links_;
    CrashEvidence evidence_;
    /// Copies of suspect requests that run for this gateway.
    std::map<Fingerprint, std::uint32_t> running_;
    std::vector<RepeatedMessage> repeats_;
    TimePoint nextUpkeepAt_;
};

} // namespace wisteria
