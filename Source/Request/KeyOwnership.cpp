#include "Request/KeyOwnership.h"

#include <algorithm>

#include "Request/KeyHashing.h"

namespace wisteria {

namespace {

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Members that may have run keys which this backend server owns in the new version. Rendezvous
/// hashing moves a key to an existing member only if its former owner is no longer a member.
std::vector<ReleaseStatus> requiredReleases(const KeyOwnership &ownership,
                                            const std::vector<std::string> &newNames,
                                            bool everyMember, std::uint64_t version)
{
    std::vector<ReleaseStatus> releases;
    for (const OwnerCandidate &member : ownership.members) {
        if (member.name == ownership.ownName)
            continue;
        if (everyMember || !contains(newNames, member.name))
            releases.push_back({member, version, std::nullopt});
    }
    return releases;
}

/// Merges the two oldest sets into one that blocks at least the keys that they blocked.
void mergeOldest(std::vector<FormerCandidates> &former)
{
    FormerCandidates &first = former[0];
    first.anyMember = true;
    first.names.clear();
    first.releases.insert(first.releases.end(), former[1].releases.begin(),
                          former[1].releases.end());
    former.erase(former.begin() + 1);
}

void addFormerCandidates(KeyOwnership &ownership, FormerCandidates set)
{
    if (set.releases.empty())
        return;
    ownership.former.push_back(std::move(set));
    if (ownership.former.size() > maxFormerOwnerSets)
        mergeOldest(ownership.former);
}

std::vector<std::string> namesOf(const std::vector<OwnerCandidate> &members)
{
    std::vector<std::string> names;
    for (const OwnerCandidate &member : members)
        names.push_back(member.name);
    return names;
}

OwnershipStatus statusAfter(const ReleaseStatus &release, WallTime time)
{
    if (!release.releasedAt)
        return OwnershipStatus::Unproven;
    // The release time is of our clock, which may differ from the former owner's by the allowance,
    // and the former owner accepted keys ahead of its clock by at most the allowance, hence twice.
    if (time <= *release.releasedAt + 2 * clockSkewAllowance)
        return OwnershipStatus::TooOld;
    return OwnershipStatus::Owned;
}

OwnershipStatus statusAfter(const FormerCandidates &set, const KeyOwnership &ownership,
                            std::string_view key, WallTime time)
{
    OwnershipStatus status = OwnershipStatus::Owned;
    const auto owner = set.anyMember ? std::nullopt : rendezvousChoice(key, set.names);
    if (owner && *owner == ownership.ownName)
        return status;
    for (const ReleaseStatus &release : set.releases) {
        if (owner && release.member.name != *owner)
            continue;
        const OwnershipStatus after = statusAfter(release, time);
        if (after == OwnershipStatus::Unproven)
            return after;
        if (after == OwnershipStatus::TooOld)
            status = after;
    }
    return status;
}

} // namespace

void setOwnerCandidates(KeyOwnership &ownership, const std::vector<OwnerCandidate> &members,
                        std::uint64_t version, bool contiguous)
{
    const std::vector<std::string> newNames = namesOf(members);
    if (!ownership.begun || !contiguous) {
        // The previous declaration is not known, so any declared member may have been the owner.
        ownership.members = members;
        addFormerCandidates(ownership,
                            {{}, true, requiredReleases(ownership, newNames, true, version)});
    } else {
        const bool wasMember = contains(ownership.names, ownership.ownName);
        addFormerCandidates(
            ownership,
            {ownership.names, false, requiredReleases(ownership, newNames, !wasMember, version)});
    }
    ownership.members = members;
    ownership.names = newNames;
    ownership.begun = true;
}

bool isOwner(const KeyOwnership &ownership, std::string_view key)
{
    const auto owner = rendezvousChoice(key, ownership.names);
    return owner && *owner == ownership.ownName;
}

OwnershipStatus ownershipStatus(const KeyOwnership &ownership, std::string_view key, WallTime time)
{
    if (!isOwner(ownership, key))
        return OwnershipStatus::NotOwner;
    OwnershipStatus status = OwnershipStatus::Owned;
    for (const FormerCandidates &set : ownership.former) {
        const OwnershipStatus after = statusAfter(set, ownership, key, time);
        if (after == OwnershipStatus::Unproven)
            return after;
        if (after == OwnershipStatus::TooOld)
            status = after;
    }
    return status;
}

std::vector<HandoverRequest> pendingReleases(const KeyOwnership &ownership)
{
    std::vector<HandoverRequest> wanted;
    for (const FormerCandidates &set : ownership.former) {
        for (const ReleaseStatus &release : set.releases) {
            if (release.releasedAt)
                continue;
            v1::KeyHandover message;
            message.set_service(ownership.service);
            message.set_config_version(release.version);
            wanted.push_back(
                {release.member.name, release.member.address, release.member.vm, message});
        }
    }
    return wanted;
}

void noteReleased(KeyOwnership &ownership, const std::string &formerOwner, std::uint64_t version,
                  WallTime wall)
{
    for (FormerCandidates &set : ownership.former) {
        for (ReleaseStatus &release : set.releases) {
            const bool covered = release.member.name == formerOwner && release.version <= version;
            if (covered && !release.releasedAt)
                release.releasedAt = wall;
        }
    }
}

void releaseByVm(KeyOwnership &ownership, const std::string &vm, WallTime wall)
{
    for (FormerCandidates &set : ownership.former) {
        for (ReleaseStatus &release : set.releases) {
            if (release.member.vm == vm && !release.releasedAt)
                release.releasedAt = wall;
        }
    }
}

} // namespace wisteria
