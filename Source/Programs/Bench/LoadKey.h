#pragma once

#include <cstdint>
#include <string>

#include "Process/Time.h"

namespace wisteria {

/// Makes an idempotency key as callers do: a UUID of version 7 (RFC 9562) from the wall clock's
/// time and random bits.
std::string makeIdempotencyKey(WallTime now, std::uint64_t random1, std::uint64_t random2);

} // namespace wisteria
