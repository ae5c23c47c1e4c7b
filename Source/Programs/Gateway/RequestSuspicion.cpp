#include "Programs/Gateway/RequestSuspicion.h"

#include <algorithm>
#include <utility>

#include "Request/RetryDecision.h"

namespace wisteria {

RequestSuspicion::RequestSuspicion(CrashDetector &crashes, PoisonGuard &poison,
                                   const GatewayRequest &request, std::string organisation,
                                   std::string service)
    : crashes_(crashes), poison_(poison), request_(request), organisation_(std::move(organisation)),
      service_(std::move(service))
{ }

RequestSuspicion::~RequestSuspicion()
{
    *alive_ = false;
}

const RequestIdentity &RequestSuspicion::identity()
{
    if (!identity_)
        identity_ = identityOf(request_, poison_.organisationId(organisation_), service_);
    return *identity_;
}

std::string RequestSuspicion::fingerprintIfKnown() const
{
    return identity_ ? toText(identity_->request) : std::string();
}

std::map<std::string, std::string> RequestSuspicion::partFingerprints()
{
    std::map<std::string, std::string> fingerprints;
    for (std::size_t i = 0; i < request_.sharedPromptParts.size(); ++i)
        fingerprints[request_.sharedPromptParts[i]] = toText(identity().parts[i]);
    return fingerprints;
}

Suspicion RequestSuspicion::level(TimePoint now)
{
    if (!poison_.hasSuspects())
        return Suspicion::None;
    poison_.noteRequest(identity(), service_, now);
    return poison_.suspicionOf(identity(), now);
}

bool RequestSuspicion::isOnlyUnproven(TimePoint now)
{
    return poison_.hasSuspects() && poison_.isOnlyUnproven(identity(), now);
}

bool RequestSuspicion::isSpent(TimePoint now)
{
    return poison_.hasSuspects() && poison_.isSpent(identity(), now);
}

TimePoint RequestSuspicion::mayRunAt(TimePoint openedAt, TimePoint now)
{
    return poison_.hasSuspects() ? poison_.mayRunAt(identity(), service_, openedAt, now) : now;
}

TimePoint RequestSuspicion::takeTurn(TimePoint openedAt, TimePoint now)
{
    if (const TimePoint at = mayRunAt(openedAt, now); at > now)
        return at;
    return poison_.hasSuspects() ? poison_.claimRun(identity(), service_, now) : now;
}

std::optional<std::uint64_t> RequestSuspicion::hashIfSuspect(TimePoint now)
{
    return poison_.hasSuspects() ? poison_.serverHash(identity(), now) : std::nullopt;
}

std::vector<CrashedProcess> RequestSuspicion::crashedIfSuspect(TimePoint now)
{
    return level(now) == Suspicion::None ? std::vector<CrashedProcess>()
                                         : poison_.crashedProcesses(now);
}

void RequestSuspicion::probeReturnIfSuspect(const std::function<void()> &returned, TimePoint now)
{
    if (level(now) != Suspicion::None)
        crashes_.probeReturn(service_, returned, now);
}

/// A repeated suspect is sent only if it can be expected to complete: few sends are left of it, and
/// a run that its time limit ends does not clear it.
milliseconds RequestSuspicion::timeNeeded(milliseconds targetLatency, milliseconds wholeTime,
                                          TimePoint now)
{
    if (level(now) != Suspicion::RepeatedSuspect || isOnlyUnproven(now))
        return minTimeForSend;
    return std::max(minTimeForSend, std::min(targetLatency, wholeTime / 2));
}

std::string RequestSuspicion::refusalText(TimePoint now)
{
    const auto reason = poison_.quarantineReason(identity(), now);
    if (!reason)
        return {};
    const auto part = std::find(identity().parts.begin(), identity().parts.end(), *reason);
    if (part == identity().parts.end()) {
        return "This request was running on several backend servers when each of them crashed, so "
               "it is not sent to any more of them. Change the request, or ask the operators to "
               "release "
            + toText(*reason) + ".\n";
    }
    const auto index = static_cast<std::size_t>(part - identity().parts.begin());
    return "This request has not run: the part of its prompt with the id "
        + request_.sharedPromptParts[index]
        + " was running on several backend servers when each of them crashed, in other requests "
          "too, so no request with it is sent to them. Leave the part out or change it, or ask the "
          "operators to release "
        + toText(*reason) + ".\n";
}

void RequestSuspicion::beginRun(const SuspectSend &send, TimePoint now)
{
    sentAt_ = now;
    sendId_ = poison_.newSendId();
    end_ = RunEnd::Unknown;
    if (poison_.hasSuspects())
        running_ = poison_.noteRunBegin(identity(), service_, sendId_, send, now);
}

void RequestSuspicion::endRun(TimePoint now)
{
    poison_.noteRunEnd(std::exchange(running_, {}), sendId_, end_, now);
}

void RequestSuspicion::noteConnectionEnded(const std::string &server, TimePoint now,
                                           std::function<void()> checked)
{
    crashes_.noteConnectionEnded({server, identity(), sentAt_, sendId_}, now,
                                 [alive = alive_, checked = std::move(checked)] {
                                     if (*alive)
                                         checked();
                                 });
}

void RequestSuspicion::noteGivenUp(const std::string &server, TimePoint now)
{
    const bool suspect = level(now) != Suspicion::None;
    crashes_.noteGivenUp({server, identity(), sentAt_, sendId_}, suspect, now);
}

void RequestSuspicion::noteCompleted(const CompletedRun &run, TimePoint now)
{
    end_ = RunEnd::Completed;
    poison_.noteCompleted(identity(), service_, run, now, now);
}

/// The run goes on, as far as the suspects are concerned, until its server has been looked at.
/// Only the crashes before it count no more: the server may have started again unseen.
void RequestSuspicion::noteCompletedIfSurvived(const CompletedRun &run, bool marksEnd,
                                               TimePoint now)
{
    if (level(now) == Suspicion::None)
        return;
    const auto checked = [&poison = poison_, identity = identity(), service = service_, run,
                          begunAt = sentAt_, id = sendId_,
                          suspects = std::exchange(running_, {})](bool survived) {
        const TimePoint checkedAt = monotonicNow();
        if (survived)
            poison.noteCompleted(identity, service, run, begunAt, checkedAt);
        poison.noteRunEnd(suspects, id, survived ? RunEnd::Completed : RunEnd::Unknown, checkedAt);
    };
    crashes_.checkSurvival({run.backend, identity(), sentAt_, sendId_}, marksEnd, checked, now);
}

void RequestSuspicion::noteAnswered()
{
    end_ = RunEnd::Answered;
    poison_.noteAnswered(identity());
}

void RequestSuspicion::noteRefused(TimePoint now)
{
    if (const auto reason = poison_.quarantineReason(identity(), now))
        poison_.noteRefusal(*reason, now);
}

} // namespace wisteria
