#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Process/Metrics.h"
#include "Request/BackendRegistry.h"
#include "Request/RouteTable.h"

namespace wisteria {

/// The series of the gauge `wisteria_priority_limit`. A series can't be removed, so one whose
/// limit a new configuration removes gets the slots of the service's backend servers, which is what
/// its requests may use then, or 0 without the service.
class PriorityLimitGauges
{
public:
    void update(Metrics &metrics, const RouteTable &routes, const BackendRegistry &registry);

private:
    /// Values by service and priority.
    std::map<std::string, std::map<std::uint32_t, std::uint32_t>> values_;
};

} // namespace wisteria
