#pragma once

#include <string>

#include "Programs/Gateway/GatewayContext.h"

namespace wisteria {

/// An answer of a backend server, and what it answers.
struct BackendAnswer
{
    const std::string &backend;
    const std::string &attempt;
    const BackendAnswerHead &head;
};

/// Takes in what a backend server says with an answer beside its load: the limit that it names, the
/// rest that it asks for, that it leaves. It binds all later sends.
void noteServerSignals(GatewayContext &context, const BackendAnswer &answer, TimePoint now);

} // namespace wisteria
