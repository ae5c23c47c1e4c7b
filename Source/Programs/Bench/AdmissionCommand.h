#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "Process/Error.h"

namespace wisteria {

/// `wisteria-bench admission`: measures one admission decision of a gateway: the order of waiting
/// requests, the limit of a priority and the choice of a backend server.
Result<void> runAdmissionCommand(std::vector<std::string> arguments, std::ostream &out);

} // namespace wisteria
