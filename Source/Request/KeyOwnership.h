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
    std::string formerOwner;
    std::string address;
    std::string vm;
    v1::KeyHandover message;
};

/// One declared backend server as a possible home.
struct OwnerCandidate
{
    std::string name;
    std::string address;
    std::string vm;

    bool operator==(const OwnerCandidate &) const = default;
};

/// Whether and when a former home released its keys.
struct Release
{
    OwnerCandidate member;
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
struct KeyOwnership
{
    std::string ownName;
    std::string service;
    std::vector<OwnerCandidate> members;
    std::vector<std::string> names;
    std::vector<FormerSet> former;
    bool begun = false;
};

/// What tenure says of a key.
enum class KeyRight {
    Mine, ///< No other home can have run it.
    NotOwner, ///< Another backend server is its home.
    Unproven, ///< A former home has not yet released it.
    TooOld, ///< A former home may have run it before it released its keys.
};

/// Takes the declared homes of a version into force.
/// @param everyVersionSeen Whether this process had the version just before in force. If not, an
/// unseen version may have given keys to a home that is no longer declared.
void setOwnerCandidates(KeyOwnership &ownership, const std::vector<OwnerCandidate> &members,
                        std::uint64_t version, bool everyVersionSeen);

/// What tenure says of the key.
/// @param time The key's own time.
KeyRight rightTo(const KeyOwnership &ownership, std::string_view key, WallTime time);

/// Whether this backend server is the key's home.
bool isOwner(const KeyOwnership &ownership, std::string_view key);

/// Former homes that have not released their keys.
std::vector<HandoverWanted> pendingReleases(const KeyOwnership &ownership);

/// Records that a former home released its keys of all versions up to `version`.
void released(KeyOwnership &ownership, const std::string &formerOwner, std::uint64_t version,
              WallTime wall);

/// Records that a VM is gone.
void releasedByVm(KeyOwnership &ownership, const std::string &vm, WallTime wall);

} // namespace wisteria
