#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Process/EventLog.h"
#include "Process/Metrics.h"
#include "Programs/Gateway/EvidenceSharing.h"
#include "Programs/Gateway/SuspectRuns.h"
#include "Request/CrashRecord.h"
#include "Request/EvidenceGap.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// How long a gateway waits for other gateways' reports about a crash: a probe and a message.
constexpr milliseconds reportSettleTime{150};

/// What the store keeps of a quarantine.
struct KeptQuarantine
{
    /// Crashes that led to it, for the operator.
    std::uint32_t crashes = 0;
    milliseconds left{0};
    /// See Quarantine.
    std::vector<Fingerprint> with{};
    std::uint32_t trials = 0;
};

/// A send of a suspect request, for the log.
struct SuspectSend
{
    std::string requestId;
    std::string backend;
    milliseconds timeLeft{0};
};

/// An answer that shows that a backend server ran a request to its end, for the log.
struct CompletedRun
{
    std::string requestId;
    std::string backend;
    int status = 0;
};

/// How a send of a request ended, as far as a suspect is concerned.
enum class RunEnd {
    Completed, ///< A backend server ran the request to its end.
    Answered, ///< A backend server answered otherwise, with the caller at fault.
    NotDelivered, ///< It reached no backend server.
    NotExecuted, ///< The backend server does not run it and never will.
    Unknown, ///< It may run on, or has crashed its backend server.
};

/// What a PoisonGuard needs of the gateway around it.
struct PoisonGuardLinks
{
    EvidenceLinks evidence;
    /// Requests that wait may now be sent, or have to be refused.
    std::function<void()> changed;
    /// The store has to keep, or to extend, a quarantine.
    /// @param foundHere Whether the last of its crashes was seen by this gateway.
    std::function<void(const Fingerprint &, const KeptQuarantine &, bool foundHere)> quarantined;
    /// What this gateway has detected itself has changed, so that the store has to keep it.
    std::function<void()> evidenceChanged;
    /// A quarantine has ended.
    std::function<void(const Fingerprint &)> released;
    /// Whether the other gateways are known, so that claims reach them.
    std::function<bool()> peersKnown;
};

/// Keeps poison requests and prompt parts, which crash each backend server that runs them, from
/// taking down more than a few: exchanges crashes with the other gateways, and tells which requests
/// are suspect or quarantined. The decisions are those of CrashEvidence.
class PoisonGuard
{
public:
    PoisonGuard(EventLog &log, PoisonGuardLinks links);
    PoisonGuard(const PoisonGuard &) = delete;
    PoisonGuard &operator=(const PoisonGuard &) = delete;

    /// Whether a request may be suspect, so that it is worth computing its fingerprints.
    bool hasSuspects() const
    {
        return wisteria::hasSuspects(evidence_) || !servicesInDoubt_.empty();
    }
    /// Records a request that may be sent, before it is asked how suspect it is.
    void noteRequest(const RequestIdentity &request, const std::string &service, TimePoint now);
    /// Whether a request is suspect only because crashes of it may be unknown; see
    /// UnprovenRequests.
    bool isOnlyUnproven(const RequestIdentity &request, TimePoint now) const;
    /// Whether a request has no sends left, so that it can't be served before it is forgotten.
    bool isSpent(const RequestIdentity &request, TimePoint now) const;
    Suspicion suspicionOf(const RequestIdentity &request, TimePoint now) const;
    /// What a request is quarantined for; see wisteria::quarantineReason().
    std::optional<Fingerprint> quarantineReason(const RequestIdentity &request,
                                                TimePoint now) const;
    /// Hash by which all gateways choose the same backend server for a suspect request; nothing for
    /// other requests.
    std::optional<std::uint64_t> serverHash(const RequestIdentity &request, TimePoint now) const;

    std::vector<CrashedProcess> crashedProcesses(TimePoint now) const
    {
        return wisteria::crashedProcesses(evidence_, now);
    }

    /// When a suspect request may be sent, if a backend server has a slot for it; TimePoint::max()
    /// while a copy, or another request with a suspect part of it, runs for this gateway. Requests
    /// that are not suspect may be sent at once.
    ///
    /// One copy runs at a time, and after a repeated crash the next one waits until the other
    /// gateways' reports have arrived. Otherwise a caller that sends a poison request many times at
    /// once would crash a server with each copy.
    /// Of all requests of a service that are suspect by several crashes, one runs at a time too, so
    /// that the next crash tells them apart.
    /// @param openedAt When the service's group of backend servers opened last.
    TimePoint mayRunAt(const RequestIdentity &request, const std::string &service,
                       TimePoint openedAt, TimePoint now) const;
    /// Claims the run of a request that may be sent now, if its suspects may run only once over all
    /// gateways.
    /// @return When it may be sent; not after `now` if at once.
    TimePoint claimRun(const RequestIdentity &request, const std::string &service, TimePoint now);
    /// Records that a request is sent.
    /// @return Its suspects, which have to be passed to noteRunEnd().
    std::vector<Fingerprint> noteRunBegin(const RequestIdentity &request,
                                          const std::string &service, SendId id,
                                          const SuspectSend &send, TimePoint now);
    void noteRunEnd(const std::vector<Fingerprint> &suspects, SendId id, RunEnd end, TimePoint now);
    SendId newSendId() { return static_cast<SendId>(random_()); }

    /// Adds a crash that this gateway detected, and reports it to the others.
    void noteCrash(const ServerCrash &crash, TimePoint now);
    /// Records that a backend server of the service ran a request to its end.
    /// @param at Crashes before do not count any more.
    void noteCompleted(const RequestIdentity &request, const std::string &service,
                       const CompletedRun &run, TimePoint at, TimePoint now);
    /// Records that a backend server answered a request, with the caller at fault.
    void noteAnswered(const RequestIdentity &request);
    /// Records that a caller sent a quarantined request again.
    void noteRefusal(const Fingerprint &reason, TimePoint now);

    /// Applies a record of the store: a quarantine, or its end.
    void applyQuarantine(const Fingerprint &suspect, const std::optional<KeptQuarantine> &kept,
                         TimePoint now);

    /// @param own Whether this gateway detected the crash, before it was restarted.
    void receive(const CrashReport &report, bool own, TimePoint now);
    void receive(const CompletionReport &report, TimePoint now);
    void receive(const CopyReport &report, TimePoint now);
    void receive(const ClaimMessage &message, TimePoint now);
    void receive(const OrganisationIdReport &report);
    /// Records that a version of the configuration follows another one.
    void noteConfigurations(const ServiceConfiguration &earlier, const ServiceConfiguration &later);
    /// The organisation in the fingerprints of requests.
    const std::string &organisationId(const std::string &name) const
    {
        return wisteria::organisationId(evidence_.organisationIds, name);
    }
    /// Sets the services of which servers may have crashed before this gateway started, without its
    /// knowing of that.
    void setServicesInDoubt(std::set<std::string> services, TimePoint now);
    /// Reports of what this gateway has detected, for the store.
    std::vector<GroupMessage> ownReports(TimePoint now) const { return sharing_.ownReports(now); }
    /// Reports of all that this gateway knows, for the store.
    std::vector<GroupMessage> knownReports(TimePoint now) const
    {
        return sharing_.knownReports(now);
    }
    /// Reports for a gateway that has just started.
    std::vector<GroupMessage> allReports(TimePoint now) const { return sharing_.allReports(now); }

    /// Repeats messages, and forgets what has expired.
    void checkTimeouts(TimePoint now);
    /// Sets the gauges of a scrape.
    void updateMetrics(Metrics &metrics, TimePoint now) const;

private:
    std::vector<Fingerprint> claimsOf(const RequestIdentity &request, const std::string &service,
                                      TimePoint now) const;
    void addCrash(const ServerCrash &crash, TimePoint now);
    void judge(TimePoint now);
    void quarantineWithoutLastSend(TimePoint now);
    void logWeighed(TimePoint now);
    void logSuspectSend(const RequestIdentity &request, const SuspectSend &send,
                        TimePoint now) const;
    void keep(const Fingerprint &suspect, bool foundHere, TimePoint now);

    EventLog &log_;
    PoisonGuardLinks links_;
    CrashEvidence evidence_;
    EvidenceSharing sharing_;
    SuspectRuns runs_;
    std::set<std::string> servicesInDoubt_;
    /// When the first service was put in doubt.
    TimePoint inDoubtSince_;
    TimePoint nextUpkeepAt_;
    /// Verdicts about the last crashes become due until then.
    TimePoint judgeUntil_;
    TimePoint nextJudgementAt_;
    /// Crashes of each suspect when the log last told why it is not quarantined.
    std::map<Fingerprint, std::uint32_t> weighedCrashes_;
    /// Whether this gateway detected the last crash.
    bool lastCrashSeenHere_ = false;
    std::mt19937_64 random_{std::random_device{}()};
};

} // namespace wisteria
