#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include <nlohmann/json.hpp>

namespace wisteria {

/// Encodes how often experts were chosen: the largest count, the number of counts and the level of
/// each.
nlohmann::json encodeCounts(const std::vector<std::uint64_t> &counts);

/// Decodes the result of encodeCounts(). Throws an exception derived from std::exception for
/// malformed fields.
std::vector<std::uint64_t> decodeCounts(const nlohmann::json &json);

/// Returns the bytes that this many counts take in a message. The other fields of the message add
/// few bytes and are left out.
std::size_t encodedCountsBytes(std::size_t counts);

} // namespace wisteria
