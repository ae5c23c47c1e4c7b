#include "Request/KeyOwnership.h"

#include <algorithm>

#include "Request/KeyHashing.h"

namespace wisteria {

namespace {

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Members that may have run keys which are ours in the new version. Rendezvous hashing moves a
/// key to an old member only when its former home is no longer a member.
std::vector<Release> releasesWanted(const KeyOwnership &ownership,
                                    const std::vector<std::string> &newNames, bool everyMember,
                                    std::uint64_t version)
{
    std::vector<Release> releases;
    for (const OwnerCandidate &member : ownership.members) {
        if (member.name == ownership.ownName)
            continue;
        if (everyMember || !contains(newNames, member.name))
            releases.push_back({member, version, std::nullopt});
    }
    return releases;
}

/// Joins the two oldest sets into one that blocks at least what they blocked.
void joinOldest(std::vector<FormerSet> &former)
{
    FormerSet &first = former[0];
    first.anyMember = true;
    first.names.clear();
    first.releases.insert(first.releases.end(), former[1].releases.begin(),
                          former[1].releases.end());
    former.erase(former.begin() + 1);
}

void addFormer(KeyOwnership &ownership, FormerSet set)
{
    if (set.releases.empty())
        return;
    ownership.former.push_back(std::move(set));
    if (ownership.former.size() > maxFormerSets)
        joinOldest(ownership.former);
}

std::vector<std::string> namesOf(const std::vector<OwnerCandidate> &members)
{
    std::vector<std::string> names;
    for (const OwnerCandidate &member : members)
        names.push_back(member.name);
    return names;
}

KeyRight rightAfter(const Release &release, WallTime time)
{
    if (!release.releasedAt)
        return KeyRight::Unproven;
    // The release was seen by our clock, the key made by the caller's, and the former home let no
    // key in that was ahead of its own clock by more than the allowance.
    if (time <= *release.releasedAt + 2 * clockSkewAllowance)
        return KeyRight::TooOld;
    return KeyRight::Mine;
}

KeyRight rightAfter(const FormerSet &set, const KeyOwnership &ownership, std::string_view key,
                    WallTime time)
{
    KeyRight right = KeyRight::Mine;
    const auto owner = set.anyMember ? std::nullopt : rendezvousChoice(key, set.names);
    if (owner && *owner == ownership.ownName)
        return right;
    for (const Release &release : set.releases) {
        if (owner && release.member.name != *owner)
            continue;
        const KeyRight after = rightAfter(release, time);
        if (after == KeyRight::Unproven)
            return after;
        if (after == KeyRight::TooOld)
            right = after;
    }
    return right;
}

} // namespace

void setOwnerCandidates(KeyOwnership &ownership, const std::vector<OwnerCandidate> &members,
                        std::uint64_t version, bool everyVersionSeen)
{
    const std::vector<std::string> newNames = namesOf(members);
    if (!ownership.begun || !everyVersionSeen) {
        // What was declared before is not known: any declared member may have been the home.
        ownership.members = members;
        addFormer(ownership, {{}, true, releasesWanted(ownership, newNames, true, version)});
    } else {
        const bool wasMember = contains(ownership.names, ownership.ownName);
        addFormer(
            ownership,
            {ownership.names, false, releasesWanted(ownership, newNames, !wasMember, version)});
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

KeyRight rightTo(const KeyOwnership &ownership, std::string_view key, WallTime time)
{
    if (!isOwner(ownership, key))
        return KeyRight::NotOwner;
    KeyRight right = KeyRight::Mine;
    for (const FormerSet &set : ownership.former) {
        const KeyRight after = rightAfter(set, ownership, key, time);
        if (after == KeyRight::Unproven)
            return after;
        if (after == KeyRight::TooOld)
            right = after;
    }
    return right;
}

std::vector<HandoverWanted> pendingReleases(const KeyOwnership &ownership)
{
    std::vector<HandoverWanted> wanted;
    for (const FormerSet &set : ownership.former) {
        for (const Release &release : set.releases) {
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

void released(KeyOwnership &ownership, const std::string &formerOwner, std::uint64_t version,
              WallTime wall)
{
    for (FormerSet &set : ownership.former) {
        for (Release &release : set.releases) {
            const bool covered = release.member.name == formerOwner && release.version <= version;
            if (covered && !release.releasedAt)
                release.releasedAt = wall;
        }
    }
}

void releasedByVm(KeyOwnership &ownership, const std::string &vm, WallTime wall)
{
    for (FormerSet &set : ownership.former) {
        for (Release &release : set.releases) {
            if (release.member.vm == vm && !release.releasedAt)
                release.releasedAt = wall;
        }
    }
}

} // namespace wisteria
