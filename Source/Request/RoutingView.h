#pragma once

#include <string>

#include "Request/EntryState.h"

namespace wisteria {

/// The candidate of that name, or null.
const Candidate *candidateNamed(const ServiceView &service, const std::string &name);

/// The candidate of that name within a service, or null when this entry does not keep to it.
Candidate *findCandidate(EntryState &state, const std::string &service, const std::string &name);

/// Takes a load report into a belief.
void applyLoad(Candidate &candidate, const v1::LoadReport &load, TimePoint now);

/// Takes a sign that the backend server can or can't run anything.
void setDown(Candidate &candidate, bool down, TimePoint now);

} // namespace wisteria
