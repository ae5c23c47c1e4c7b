#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Request/OrganisationShares.h"

namespace wisteria {

/// A request that waits for a slot.
struct WaitingRequest
{
    /// Id of its session.
    std::uint64_t id = 0;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Empty when the request has no organisation.
    std::string organisation{};
};

/// Returns the ids of waiting requests in the order of dispatch: the most urgent first; of one
/// priority, by their start tags (see startTagOf()), then in order of arrival.
/// @param waiting In order of arrival.
/// @param shares Null to serve the requests of one priority in order of arrival.
std::vector<std::uint64_t> dispatchOrder(const std::vector<WaitingRequest> &waiting,
                                         const OrganisationShares *shares, TimePoint now);

} // namespace wisteria
