#pragma once

#include <ostream>

#include "Operator.pb.h"
#include "Programs/Ctl/CtlOptions.h"

namespace wisteria::ctl {

/// A message as JSON with the schema's field names.
std::string jsonText(const google::protobuf::Message &message);

/// What became of a change.
/// @return The exit code.
ExitCode printApply(const v1::ApplyReply &reply, bool json, std::ostream &out);

/// What a change would do.
/// @return The exit code.
ExitCode printDryRun(const v1::DryRunReply &reply, bool json, std::ostream &out);

/// A table of the fleet.
/// @return The exit code.
ExitCode printStatus(const v1::StatusReply &reply, bool json, std::ostream &out);

/// The audit trail, newest last.
void printHistory(const v1::HistoryReply &reply, bool json, std::ostream &out);

} // namespace wisteria::ctl
