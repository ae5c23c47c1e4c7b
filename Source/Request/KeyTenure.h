#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Peer.pb.h"
#include "Process/Time.h"

namespace wisteria {

/// Sets of homes that are remembered while keys of their time may still be repeated.
constexpr std::size_t maxFormerSets = 16;

/// A former home that a new home has to ask.
struct HandoverWanted
{
    std::string formerHome;
    std::string address;
    std::string vm;
    v1::KeyHandover message;
};

/// One declared backend server as a possible home.
struct HomeMember
{
    std::string name;
    std::string address;
    std::string vm;

    bool operator==(const HomeMember &) const = default;
};

/// Whether and when a former home released its keys.
struct Release
{
    HomeMember member;
    std::uint64_t version = 0;
    std::optional<WallTime> releasedAt;
};

/// The homes before a change, and who of them has released its keys since.
struct FormerSet
{
    std::vector<std::string> names;
    /// Set at the process's start, when what was declared before is not known: any other declared
    /// backend server may have been the home.
    bool anyMember = false;
    std::vector<Release> releases;
};

/// Which keys a home may run, given who was home before.
struct KeyTenure
{
    std::string ownName;
    std::string service;
    std::vector<HomeMember> members;
    std::vector<std::string> names;
    std::vector<FormerSet> former;
    bool begun = false;
};

/// What tenure says of a key.
enum class KeyRight {
    Mine, ///< No other home can have run it.
    NotHome, ///< Another backend server is its home.
    Unproven, ///< A former home has not yet released it.
    TooOld, ///< A former home may have run it before it released its keys.
};

/// Takes the declared homes of a version into force.
/// @param everyVersionSeen Whether this process had the version just before in force. If not, an
/// unseen version may have given keys to a home that is no longer declared.
void setHomes(KeyTenure &tenure, const std::vector<HomeMember> &members, std::uint64_t version,
              bool everyVersionSeen);

/// What tenure says of the key.
/// @param time The key's own time.
KeyRight rightTo(const KeyTenure &tenure, std::string_view key, WallTime time);

/// Whether this backend server is the key's home.
bool isHome(const KeyTenure &tenure, std::string_view key);

/// Former homes that have not released their keys.
std::vector<HandoverWanted> pendingReleases(const KeyTenure &tenure);

/// Records that a former home released its keys of all versions up to `version`.
void released(KeyTenure &tenure, const std::string &formerHome, std::uint64_t version,
              WallTime wall);

/// Records that a VM is gone.
void releasedByVm(KeyTenure &tenure, const std::string &vm, WallTime wall);

} // namespace wisteria
