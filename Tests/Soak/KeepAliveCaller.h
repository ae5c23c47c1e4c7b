#pragma once

#include <memory>
#include <string>

#include "Gateway/CallerSocket.h"

namespace wisteria::soak {

/// HTTP client that reuses its connection for further requests until the server closes it.
class KeepAliveCaller
{
public:
    explicit KeepAliveCaller(const Endpoint &to) : to_(to) { }

    /// Sends a request and reads its answer. Reuses the connection if it is open.
    /// @return The answer; its status is 0 if no answer was received.
    gateway_tests::CallResult call(const std::string &request);

private:
    Endpoint to_;
    std::unique_ptr<gateway_tests::CallerSocket> socket_;
};

} // namespace wisteria::soak
