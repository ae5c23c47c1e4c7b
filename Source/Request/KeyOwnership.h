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

/// Number of former sets of possible owners that are kept, because keys of their time may still be
/// repeated. Beyond it the two oldest are merged.
constexpr std::size_t maxFormerOwnerSets = 16;

/// Handover request that a new owner sends to a former one.
struct HandoverRequest
{
    std::string formerOwner;
    std::string address;
    std::string vm;
    v1::KeyHandover message;
};

/// One declared backend server as a possible owner of keys.
struct OwnerCandidate
{
    std::string name;
    std::string address;
    std::string vm;

    bool operator==(const OwnerCandidate &) const = default;
};

/// Whether and when a possible former owner released its keys; it may not have done so yet.
struct ReleaseStatus
{
    OwnerCandidate member;
    /// Version of the configuration from which on the keys belong to the new owner.
    std::uint64_t version = 0;
    std::optional<WallTime> releasedAt;
};

/// The possible owners before a change, and which of them have released their keys since.
struct FormerCandidates
{
    std::vector<std::string> names;
    /// Any other declared backend server may have been the owner, because the previous declaration
    /// is not known (at the process's start or after an unseen version), or because sets were
    /// merged.
    bool anyMember = false;
    std::vector<ReleaseStatus> releases;
};

/// Keys that a backend server owns by the version in force, and former owners that may have run
/// them before.
struct KeyOwnership
{
    std::string ownName;
    std::string service;
    /// All possible owners; each key is owned by one of them.
    std::vector<OwnerCandidate> members;
    /// The names of `members`.
    std::vector<std::string> names;
    std::vector<FormerCandidates> former;
    /// Whether a version has been set.
    bool begun = false;
};

/// Whether a key may run here, by the present and the former owners.
enum class OwnershipStatus {
    Owned, ///< It is owned here and no other owner can have run it.
    NotOwner, ///< Another backend server is its owner.
    Unproven, ///< A former owner has not released it yet.
    TooOld, ///< A former owner may have run it before it released its keys.
};

/// Puts the declared owners of a version into force.
/// @param contiguous Whether the preceding version was in force in this process. If not, an
/// unseen version may have assigned keys to an owner that is no longer declared.
void setOwnerCandidates(KeyOwnership &ownership, const std::vector<OwnerCandidate> &members,
                        std::uint64_t version, bool contiguous);

/// Returns whether the key may run here, by the present and the former owners.
/// @param time Creation time that the key carries.
OwnershipStatus ownershipStatus(const KeyOwnership &ownership, std::string_view key, WallTime time);

/// Whether this backend server owns the key.
bool isOwner(const KeyOwnership &ownership, std::string_view key);

/// Handover requests to former owners that have not released their keys.
std::vector<HandoverRequest> pendingReleases(const KeyOwnership &ownership);

/// Records that a former owner released its keys of all versions up to `version`.
void noteReleased(KeyOwnership &ownership, const std::string &formerOwner, std::uint64_t version,
                  WallTime wall);

/// Records that a VM is gone, so that former owners on it can run no key any more.
void releaseByVm(KeyOwnership &ownership, const std::string &vm, WallTime wall);

} // namespace wisteria
