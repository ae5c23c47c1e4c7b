#pragma once

#include <ostream>

#include "Operator.pb.h"
#include "Programs/Ctl/CtlOptions.h"

namespace wisteria::ctl {

/// A message as JSON with the schema's field names.
std::string jsonText(const google::protobuf::Message &message);

/// Prints the outcome of a change.
/// @return The exit code for this outcome.
ExitCode printApply(const v1::ApplyReply &reply, bool json, std::ostream &out);

/// Prints the differences and effects of a change that was not applied.
/// @return The exit code for this result.
ExitCode printDryRun(const v1::DryRunReply &reply, bool json, std::ostream &out);

/// Prints the state of all processes as a table.
/// @return ExitNotEverywhere when a process lags or is silent, or the log is unreachable or
/// can't be followed.
ExitCode printStatus(const v1::StatusReply &reply, bool json, std::ostream &out);

/// Prints the audit trail, newest change last.
void printHistory(const v1::HistoryReply &reply, bool json, std::ostream &out);

} // namespace wisteria::ctl
