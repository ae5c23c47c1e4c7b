#pragma once

#include "Process/Time.h"
#include "Request/BackendRegistry.h"

namespace wisteria {

/// Time without a sign of life after which a backend server that holds a request is checked. Longer
/// than the interval between two load reports of an idle sidecar, and short enough for a caller,
/// who leaves a silent stream after two seconds, to be served by another server.
constexpr milliseconds silenceBeforeCheck{400};

/// How long a server that failed a check counts as silent, unless it shows a sign of life before.
/// Then requests that still wait there have it checked again.
constexpr milliseconds silentTime{1000};

/// Returns the time of the server's last sign of life: bytes of an answer, a passed check, or a
/// load report of its sidecar, unless that states that the engine does not answer it.
TimePoint lastSignOfLife(const BackendState &state);

/// Returns whether a server may be silent: since a request was sent to it, neither it nor its
/// sidecar has shown a sign of life for `silenceBeforeCheck`. A lost report or a slow answer may be
/// the reason, so the server is checked before anything is decided.
bool isSilenceSuspected(const BackendState &state, TimePoint sentAt, TimePoint now);

/// Records bytes of an answer, or a passed check.
void noteSignOfLife(BackendState &state, TimePoint now);

/// Records that a server whose silence was suspected did not answer a check.
void noteSilent(BackendState &state, TimePoint now);

/// Returns whether a server failed a check and has shown no sign of life since.
bool isSilent(const BackendState &state, TimePoint now);

/// Returns whether the sidecar of a server has stopped reporting, as on a frozen VM. Without its
/// reports the server would seem to have this gateway's requests only, and attract new ones.
bool isReportOverdue(const BackendState &state, TimePoint now, milliseconds loadLifetime);

} // namespace wisteria
