#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Process/Time.h"

namespace wisteria {

/// Largest difference between the wall clocks of any two VMs that at-most-once relies on.
/// A deployment whose clocks differ by more may run a request twice after a home restarts.
constexpr milliseconds clockSkewAllowance{2000};

/// Hash of two texts; the same on every process and release.
std::uint64_t pairHash(std::string_view first, std::string_view second);

/// Creation time that a UUID version 7 (RFC 9562, text form) carries.
/// @return Nothing when the text is no UUID version 7.
std::optional<WallTime> keyTime(std::string_view key);

/// The key in lower case, as homes are chosen and keys remembered: the case of hexadecimal digits
/// does not make another UUID.
std::string canonicalKey(std::string_view key);

/// The member with the highest rendezvous hash for the key. Removing another member never moves
/// the key; adding one moves it only to that one.
/// @return Nothing when there are no members.
std::optional<std::string> rendezvousChoice(std::string_view key,
                                            const std::vector<std::string> &members);

} // namespace wisteria
