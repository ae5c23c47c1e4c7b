#pragma once

#include <string>

#include "Programs/Gateway/GatewayContext.h"

namespace wisteria {

/// An answer of a backend server, with the caller's attempt that it belongs to.
struct BackendAnswer
{
    const std::string &backend;
    const std::string &attempt;
    const BackendAnswerHead &head;
};

/// Applies the server signals of an answer: the advertised limit, the cold phase, the backoff and
/// the draining state of the backend server. They apply to all later sends. The load is applied
/// elsewhere.
void noteServerSignals(GatewayContext &context, const BackendAnswer &answer, TimePoint now);

} // namespace wisteria
