#pragma once

#include <ostream>

#include "Operator.grpc.pb.h"
#include "Programs/Ctl/CtlOptions.h"

namespace wisteria::ctl {

/// Whether a command runs without an admin.
bool runsOffline(const std::string &command);

/// Runs a command for which runsOffline() is true.
ExitCode runOffline(const Options &options, std::ostream &out, std::ostream &err);

/// Runs a command that calls an admin.
ExitCode runOnline(const Options &options, v1::Operator::StubInterface &admin, std::ostream &out,
                   std::ostream &err);

} // namespace wisteria::ctl
