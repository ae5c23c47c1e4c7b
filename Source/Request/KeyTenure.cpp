#include "Request/KeyTenure.h"

#include <algorithm>

#include "Request/KeyHome.h"

namespace wisteria {

namespace {

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Members that may have run keys which are ours in the new version. Rendezvous hashing moves a
/// key to an old member only when its former home is no longer a member.
std::vector<Release> releasesWanted(const KeyTenure &tenure,
                                    const std::vector<std::string> &newNames, bool everyMember,
                                    std::uint64_t version)
{
    std::vector<Release> releases;
    for (const HomeMember &member : tenure.members) {
        if (member.name == tenure.ownName)
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

void addFormer(KeyTenure &tenure, FormerSet set)
{
    if (set.releases.empty())
        return;
    tenure.former.push_back(std::move(set));
    if (tenure.former.size() > maxFormerSets)
        joinOldest(tenure.former);
}

std::vector<std::string> namesOf(const std::vector<HomeMember> &members)
{
    std::vector<std::string> names;
    for (const HomeMember &member : members)
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

KeyRight rightAfter(const FormerSet &set, const KeyTenure &tenure, std::string_view key,
                    WallTime time)
{
    KeyRight right = KeyRight::Mine;
    const auto home = set.anyMember ? std::nullopt : rendezvousChoice(key, set.names);
    if (home && *home == tenure.ownName)
        return right;
    for (const Release &release : set.releases) {
        if (home && release.member.name != *home)
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

void setHomes(KeyTenure &tenure, const std::vector<HomeMember> &members, std::uint64_t version,
              bool everyVersionSeen)
{
    const std::vector<std::string> newNames = namesOf(members);
    if (!tenure.begun || !everyVersionSeen) {
        // What was declared before is not known: any declared member may have been the home.
        tenure.members = members;
        addFormer(tenure, {{}, true, releasesWanted(tenure, newNames, true, version)});
    } else {
        const bool wasMember = contains(tenure.names, tenure.ownName);
        addFormer(tenure,
                  {tenure.names, false, releasesWanted(tenure, newNames, !wasMember, version)});
    }
    tenure.members = members;
    tenure.names = newNames;
    tenure.begun = true;
}

bool isHome(const KeyTenure &tenure, std::string_view key)
{
    const auto home = rendezvousChoice(key, tenure.names);
    return home && *home == tenure.ownName;
}

KeyRight rightTo(const KeyTenure &tenure, std::string_view key, WallTime time)
{
    if (!isHome(tenure, key))
        return KeyRight::NotHome;
    KeyRight right = KeyRight::Mine;
    for (const FormerSet &set : tenure.former) {
        const KeyRight after = rightAfter(set, tenure, key, time);
        if (after == KeyRight::Unproven)
            return after;
        if (after == KeyRight::TooOld)
            right = after;
    }
    return right;
}

std::vector<HandoverWanted> pendingReleases(const KeyTenure &tenure)
{
    std::vector<HandoverWanted> wanted;
    for (const FormerSet &set : tenure.former) {
        for (const Release &release : set.releases) {
            if (release.releasedAt)
                continue;
            v1::KeyHandover message;
            message.set_service(tenure.service);
            message.set_config_version(release.version);
            wanted.push_back(
                {release.member.name, release.member.address, release.member.vm, message});
        }
    }
    return wanted;
}

void released(KeyTenure &tenure, const std::string &formerHome, std::uint64_t version,
              WallTime wall)
{
    for (FormerSet &set : tenure.former) {
        for (Release &release : set.releases) {
            const bool covered = release.member.name == formerHome && release.version <= version;
            if (covered && !release.releasedAt)
                release.releasedAt = wall;
        }
    }
}

void releasedByVm(KeyTenure &tenure, const std::string &vm, WallTime wall)
{
    for (FormerSet &set : tenure.former) {
        for (Release &release : set.releases) {
            if (release.member.vm == vm && !release.releasedAt)
                release.releasedAt = wall;
        }
    }
}

} // namespace wisteria
