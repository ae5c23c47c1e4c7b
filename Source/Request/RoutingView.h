#pragma once

#include <string>

#include "Request/EntryState.h"

namespace wisteria {

/// The candidate of that name, or null.
const Candidate *candidateNamed(const ServiceView &service, const std::string &name);

/// The candidate of that name within a service, or null if it is not in this entry's subset.
Candidate *findCandidate(EntryState &state, const std::string &service, const std::string &name);

/// Applies a load report to a candidate.
void applyLoad(Candidate &candidate, const v1::LoadReport &load, TimePoint now);

/// Sets whether the backend server is down, and since when.
void setDown(Candidate &candidate, bool down, TimePoint now);

} // namespace wisteria
