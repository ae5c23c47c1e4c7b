#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Process/Time.h"

namespace wisteria {

/// What an entry believes of one backend server. Beliefs are hints that may be late: the agent
/// beside the backend server has the last word.
struct Candidate
{
    std::string name;
    std::string failureDomain;
    std::uint32_t concurrency = 1;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Requests this entry has sent and not seen ended.
    std::uint32_t outstanding = 0;
    bool leaving = false;
    bool down = false;
};

/// Chooses the backend server for one attempt.
/// @param tried Names of those already tried for this request.
/// @return Index into candidates; nothing when none may be asked.
std::optional<std::size_t> chooseBackendServer(const std::vector<Candidate> &candidates,
                                               const std::vector<std::string> &tried);

} // namespace wisteria
