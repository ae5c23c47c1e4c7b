#pragma once

#include <string>

#include "Gateway/ScriptedServer.h"

namespace wisteria::soak {

/// A caller that keeps its connection open between requests, until the other side closes it.
class KeptCaller
{
public:
    explicit KeptCaller(const Endpoint &to) : to_(to) { }
    ~KeptCaller();
    KeptCaller(const KeptCaller &) = delete;
    KeptCaller &operator=(const KeptCaller &) = delete;

    /// Sends a request and reads its answer, on the kept connection where there is one. Status 0
    /// when no answer came.
    gateway_tests::CallResult call(const std::string &request);

private:
    bool connect();
    void close();

    Endpoint to_;
    int descriptor_ = -1;
};

} // namespace wisteria::soak
