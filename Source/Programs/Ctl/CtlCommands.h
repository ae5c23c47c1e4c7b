#pragma once

#include <ostream>

#include "Operator.grpc.pb.h"
#include "Programs/Ctl/CtlOptions.h"

namespace wisteria::ctl {

/// Whether a command needs no admin.
bool runsOffline(const std::string &command);

/// Runs a command that needs no admin.
ExitCode runOffline(const Options &options, std::ostream &out, std::ostream &err);

/// Runs a command against an admin.
ExitCode runOnline(const Options &options, v1::Operator::StubInterface &admin, std::ostream &out,
                   std::ostream &err);

} // namespace wisteria::ctl
