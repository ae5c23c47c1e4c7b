#pragma once

#include "Process/EventLog.h"
#include "Process/Metrics.h"
#include "Request/ServerCrash.h"

namespace wisteria {

/// Writes the log line `backend.crashed` and counts the crash.
void logCrash(EventLog &log, Metrics &metrics, const ServerCrash &crash);

} // namespace wisteria
