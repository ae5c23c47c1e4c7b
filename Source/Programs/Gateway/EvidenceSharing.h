#pragma once

#include <functional>
#include <map>
#include <variant>
#include <vector>

#include "Request/CrashEvidence.h"
#include "Version/GroupMessages.h"

namespace wisteria {

/// Sends messages about crashes to the other gateways.
struct EvidenceLinks
{
    /// Sends a message to all other gateways that are known.
    std::function<void(const GroupMessage &)> sendToAll;
    /// Sends messages to one of them, chosen at random.
    std::function<void(const std::vector<GroupMessage> &)> sendToOne;
};

/// Tells the other gateways of crashes, and of what backend servers have completed, so that all
/// reach the same verdicts.
class EvidenceSharing
{
public:
    /// @param evidence Must outlive this object.
    EvidenceSharing(const CrashEvidence &evidence, EvidenceLinks links);
    EvidenceSharing(const EvidenceSharing &) = delete;
    EvidenceSharing &operator=(const EvidenceSharing &) = delete;

    /// Reports a crash that this gateway detected.
    void reportCrash(const ServerCrash &crash, TimePoint now);
    /// Reports what a backend server has just completed.
    void reportCompletion(const std::vector<Fingerprint> &completed, TimePoint now);
    /// Reports the copies of a request that ended in crashes, and its last sends.
    void reportCopies(const Fingerprint &request, TimePoint now);
    /// Records that a crash became known, so that this gateway tells a moment later what of the
    /// requests in flight there has been completed before, unless another one does.
    void noteCrash(TimePoint now, double randomUnit);
    /// Records what another gateway reported as completed.
    void noteReported(const std::vector<Fingerprint> &completed, TimePoint now);

    /// Sends messages again that may have been lost, and those that have become due.
    void checkTimeouts(TimePoint now);
    /// Repeats the latest reports to one other gateway, which may have been cut off, or have
    /// started since.
    void gossip(TimePoint now);
    /// Returns reports of the latest crashes, and of what has been completed before each.
    std::vector<GroupMessage> latestReports(TimePoint now) const;
    /// The same of all crashes that count, of what was completed in doubt, and of the ids of
    /// organisations, for a gateway that knows none.
    std::vector<GroupMessage> allReports(TimePoint now) const;
    /// Returns reports of what this gateway has detected and still counts, the latest first, and of
    /// the ids of organisations.
    std::vector<GroupMessage> ownReports(TimePoint now) const;
    /// The same of all that is known, whoever detected it.
    std::vector<GroupMessage> knownReports(TimePoint now) const;

private:
    using Report = std::variant<CrashReport, CompletionReport, CopyReport>;

    /// A message that was sent once and is sent again.
    struct RepeatedReport
    {
        TimePoint firstSentAt;
        Report report;
    };

    std::vector<GroupMessage> reportsOfCrashes(std::size_t maxCount, milliseconds maxAge,
                                               TimePoint now) const;
    std::vector<GroupMessage> reportsForStore(bool ownOnly, TimePoint now) const;
    void addCopyReports(std::vector<GroupMessage> &reports, TimePoint now) const;
    void addOrganisationIds(std::vector<GroupMessage> &reports) const;
    void sendToAllTwice(const Report &report, TimePoint now);
    void sendRepeats(TimePoint now);
    void sendProofs(TimePoint now);

    const CrashEvidence &evidence_;
    EvidenceLinks links_;
    std::vector<RepeatedReport> repeats_;
    /// When to tell what was completed before the latest crashes.
    TimePoint proofsDueAt_ = TimePoint::max();
    /// When this or another gateway last told of each completion.
    std::map<Fingerprint, TimePoint> toldAt_;
};

} // namespace wisteria
