#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "Process/Error.h"

namespace wisteria {

/// `wisteria-bench admission`: measures one admission decision of a gateway: the limit of a
/// priority, the choice of a backend server and the number of queued requests ahead. The dispatch
/// order of the whole queue is not part of it.
Result<void> runAdmissionCommand(std::vector<std::string> arguments, std::ostream &out);

} // namespace wisteria
