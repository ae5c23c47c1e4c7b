#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Process/Time.h"

namespace wisteria {

/// Largest difference between the wall clocks of any two VMs at which at-most-once execution holds.
/// If clocks differ by more, a request may run twice after the owner of its key restarts.
constexpr milliseconds clockSkewAllowance{2000};

/// Hash of two texts; the same in every process and release.
std::uint64_t pairHash(std::string_view first, std::string_view second);

/// Creation time that a UUID version 7 (RFC 9562, text form) carries.
/// @return Nothing if the text is not a UUID version 7.
std::optional<WallTime> keyTime(std::string_view key);

/// The key in lower case, which is the form used to choose its owner and to record it, because
/// UUIDs that differ only in the case of hexadecimal digits are equal.
std::string canonicalKey(std::string_view key);

/// The member with the highest rendezvous hash for the key. Removing another member never moves
/// the key, and adding one can only move it to the added one.
/// @return Nothing if there are no members.
std::optional<std::string> rendezvousChoice(std::string_view key,
                                            const std::vector<std::string> &members);

} // namespace wisteria
