#pragma once

#include <string>

#include "Peer.pb.h"
#include "Process/Error.h"
#include "Version/ExpertMap.h"
#include "Version/PlacementEstimate.h"

namespace wisteria {

/// Writes a map as the group's stream and the engines take it: JSON, {"layers":[[[experts on rank
/// 0],[on rank 1],...],...]}, named by a hash of that text.
v1::ExpertMap encodeExpertMap(const ExpertMap &map);

/// Reads a map back.
/// @return BadInput when the content is not such a text or not what the digest names.
Result<ExpertMap> decodeExpertMap(const v1::ExpertMap &encoded);

/// Reads an engine's report of expert loads: {"age_ms":120,"layers":[{"layer":0,"loads":[...]}]}.
/// @param now When the report came; its loads are `age_ms` older.
/// @return BadInput when it can't be understood.
Result<std::vector<LoadReport>> parseLoadReports(const std::string &body, TimePoint now);

} // namespace wisteria
