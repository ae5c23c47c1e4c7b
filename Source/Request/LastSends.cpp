#include "Request/LastSends.h"

#include <algorithm>
#include <set>

#include "Request/CrashEvidence.h"
#include "Request/CrashRecord.h"

namespace wisteria {

namespace {

bool counts(const CrashEvidence &evidence, const Fingerprint &request, TimePoint at, TimePoint now)
{
    return now - at <= crashLifetime && at > clearedUntil(evidence, request);
}

const CopyAccount *findAccount(const CrashEvidence &evidence, const Fingerprint &request)
{
    const auto found = evidence.accounts.find(request);
    return found == evidence.accounts.end() ? nullptr : &found->second;
}

/// Makes room for one more account: the one of which the latest news is the oldest goes.
void evictAccount(CrashEvidence &evidence)
{
    const auto latest = [](const CopyAccount &account) {
        TimePoint at = account.countedAt;
        for (const auto &[id, send] : account.lastSends)
            at = std::max(at, send.at);
        return at;
    };
    evidence.accounts.erase(std::min_element(
        evidence.accounts.begin(), evidence.accounts.end(),
        [&](const auto &a, const auto &b) { return latest(a.second) < latest(b.second); }));
}

CopyAccount &accountFor(CrashEvidence &evidence, const Fingerprint &request)
{
    if (!evidence.accounts.contains(request) && evidence.accounts.size() >= maxAccounts)
        evictAccount(evidence);
    return evidence.accounts[request];
}

/// Returns from when on the sends of an unproven request count: those shortly before its first
/// crash, or before now while there is none.
TimePoint unprovenSendsSince(const CrashEvidence &evidence, const Fingerprint &request,
                             TimePoint now)
{
    const CrashList crashes = countedCrashes(evidence, request, now);
    return (crashes.empty() ? now : crashes.front()->at) - unprovenSendTime;
}

/// Returns when each last send was made that counts.
std::vector<TimePoint> countedSends(const CrashEvidence &evidence, const Fingerprint &request,
                                    TimePoint now)
{
    std::vector<TimePoint> sends;
    const CopyAccount *account = findAccount(evidence, request);
    if (account == nullptr)
        return sends;
    const TimePoint since =
        isUnproven(evidence, request) ? unprovenSendsSince(evidence, request, now) : TimePoint();
    for (const auto &[id, send] : account->lastSends) {
        if (send.delivered && send.at >= since && counts(evidence, request, send.at, now))
            sends.push_back(send.at);
    }
    return sends;
}

} // namespace

std::uint32_t endedCopiesOf(const CrashEvidence &evidence, const Fingerprint &request,
                            TimePoint now)
{
    const CopyAccount *account = findAccount(evidence, request);
    const bool told = account != nullptr && account->endedCopies > 0
        && counts(evidence, request, account->countedAt, now);
    std::uint32_t known = 0;
    std::uint32_t later = 0;
    const auto crashes = evidence.crashesOf.find(request);
    if (crashes != evidence.crashesOf.end() && crashes->second.isRequest) {
        for (const ServerCrash *crash : countedCrashes(evidence, request, now)) {
            const std::uint32_t copies = copiesAt(*crash, request);
            known += copies;
            // Gateways learn of one crash at somewhat different times.
            if (told && crash->at > account->countedAt + sameCrashTime)
                later += copies;
        }
    }
    return told ? std::max(known, account->endedCopies + later) : known;
}

bool isRestricted(const CrashEvidence &evidence, const Fingerprint &request, TimePoint now)
{
    constexpr std::uint32_t maxEndedUnproven = 1;
    return endedCopiesOf(evidence, request, now)
        >= (isUnproven(evidence, request) ? maxEndedUnproven : maxEndedCopies);
}

std::uint32_t lastSendsOf(const CrashEvidence &evidence, const Fingerprint &request, TimePoint now)
{
    return static_cast<std::uint32_t>(countedSends(evidence, request, now).size());
}

bool hasLastSend(const CrashEvidence &evidence, const Fingerprint &request, TimePoint now)
{
    std::uint32_t sends = lastSendsOf(evidence, request, now);
    if (isUnproven(evidence, request))
        sends = std::max(sends, endedCopiesOf(evidence, request, now));
    return sends < maxLastSends;
}

TimePoint lastSendDueAt(const CrashEvidence &evidence, const Fingerprint &request,
                        TimePoint lastCrashAt, TimePoint now)
{
    const std::vector<TimePoint> sends = countedSends(evidence, request, now);
    TimePoint latest = lastCrashAt;
    for (const TimePoint sentAt : sends)
        latest = std::max(latest, sentAt);
    return latest + pausePerLastSend * sends.size();
}

void noteLastSend(CrashEvidence &evidence, const Fingerprint &request, SendId id,
                  const LastSend &send)
{
    CopyAccount &account = accountFor(evidence, request);
    const auto [known, added] = account.lastSends.try_emplace(id, send);
    if (!added)
        known->second.delivered = known->second.delivered && send.delivered;
    constexpr std::size_t maxKept = 16;
    if (account.lastSends.size() <= maxKept)
        return;
    account.lastSends.erase(
        std::min_element(account.lastSends.begin(), account.lastSends.end(),
                         [](const auto &a, const auto &b) { return a.second.at < b.second.at; }));
}

bool withdrawLastSend(CrashEvidence &evidence, const Fingerprint &request, SendId id)
{
    const auto account = evidence.accounts.find(request);
    if (account == evidence.accounts.end())
        return false;
    const auto send = account->second.lastSends.find(id);
    if (send == account->second.lastSends.end())
        return false;
    send->second.delivered = false;
    return true;
}

void mergeAccount(CrashEvidence &evidence, const Fingerprint &request, const CopyAccount &known,
                  TimePoint now)
{
    if (counts(evidence, request, known.countedAt, now)
        && known.endedCopies > endedCopiesOf(evidence, request, now)) {
        CopyAccount &account = accountFor(evidence, request);
        account.endedCopies = known.endedCopies;
        account.countedAt = known.countedAt;
    }
    for (const auto &[id, send] : known.lastSends) {
        if (counts(evidence, request, send.at, now))
            noteLastSend(evidence, request, id, send);
    }
}

CopyAccount accountOf(const CrashEvidence &evidence, const Fingerprint &request, TimePoint now)
{
    CopyAccount account;
    if (const CopyAccount *known = findAccount(evidence, request))
        account = *known;
    account.endedCopies = endedCopiesOf(evidence, request, now);
    for (const ServerCrash *crash : countedCrashes(evidence, request, now))
        account.countedAt = std::max(account.countedAt, crash->at);
    return account;
}

std::vector<Fingerprint> restrictedRequests(const CrashEvidence &evidence, TimePoint now)
{
    std::set<Fingerprint> candidates;
    for (const auto &[request, account] : evidence.accounts)
        candidates.insert(request);
    for (const auto &[suspect, crashes] : evidence.crashesOf) {
        if (crashes.isRequest)
            candidates.insert(suspect);
    }
    std::vector<Fingerprint> restricted;
    for (const Fingerprint &request : candidates) {
        if (isRestricted(evidence, request, now))
            restricted.push_back(request);
    }
    return restricted;
}

void removeExpiredAccounts(CrashEvidence &evidence, TimePoint now)
{
    std::erase_if(evidence.accounts, [&](const auto &item) {
        const CopyAccount &account = item.second;
        return !counts(evidence, item.first, account.countedAt, now)
            && std::none_of(account.lastSends.begin(), account.lastSends.end(),
                            [&](const auto &sent) {
                                return counts(evidence, item.first, sent.second.at, now);
                            });
    });
}

} // namespace wisteria
