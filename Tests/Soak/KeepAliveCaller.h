#pragma once

#include <string>

#include "Gateway/ScriptedServer.h"

namespace wisteria::soak {

/// HTTP client that reuses its connection for further requests until the server closes it.
class KeepAliveCaller
{
public:
    explicit KeepAliveCaller(const Endpoint &to) : to_(to) { }
    ~KeepAliveCaller();
    KeepAliveCaller(const KeepAliveCaller &) = delete;
    KeepAliveCaller &operator=(const KeepAliveCaller &) = delete;

    /// Sends a request and reads its answer. Reuses the connection if it is open.
    /// @return The answer; its status is 0 if no answer was received.
    gateway_tests::CallResult call(const std::string &request);

private:
    bool connect();
    void close();

    Endpoint to_;
    int descriptor_ = -1;
};

} // namespace wisteria::soak
