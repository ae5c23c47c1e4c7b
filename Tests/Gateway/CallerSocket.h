#pragma once

#include <string>

#include "Gateway/ScriptedServer.h"

namespace wisteria::gateway_tests {

/// A caller's connection that stays open over several requests, as far as the other side keeps it.
class CallerSocket
{
public:
    /// Connects.
    /// @param receiveBuffer Size of the kernel's buffer for received bytes; 0 for the usual one.
    explicit CallerSocket(const Endpoint &to, int receiveBuffer = 0);
    ~CallerSocket();
    CallerSocket(const CallerSocket &) = delete;
    CallerSocket &operator=(const CallerSocket &) = delete;

    bool connected() const { return descriptor_ >= 0; }
    /// @return Whether the kernel took all bytes.
    bool send(const std::string &bytes) const;

    /// Reads the answer to one request, or what came of it until the connection ends or `within`
    /// passes without a byte. The status is 0 if there was none.
    CallResult readAnswer(milliseconds within = seconds(10));

    /// Waits until bytes of an answer can be read, or the connection has ended.
    bool waitForBytes(milliseconds within = seconds(10)) const;

    /// Reads bytes that are available, or waits for some.
    /// @return Number of bytes; 0 or less if the connection ended.
    ssize_t read(std::string &part) const;

    /// Reads what comes until the connection ends, or until `within` passes without a byte.
    std::string readToEnd(milliseconds within = seconds(10)) const;

    /// Waits for the other side to end the connection; bytes that it sends are dropped.
    /// @return Whether it did.
    bool waitForEnd(milliseconds within) const;

private:
    int descriptor_ = -1;
    /// Bytes that came after the last answer.
    std::string after_;
};

} // namespace wisteria::gateway_tests
