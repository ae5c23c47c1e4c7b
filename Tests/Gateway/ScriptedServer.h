#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "Process/Endpoint.h"
#include "Process/Time.h"

namespace wisteria::gateway_tests {

/// One request that a scripted server has read.
struct SeenRequest
{
    std::string head;
    std::string body;
    /// Number of earlier requests on the same connection.
    int requestsBefore = 0;

    /// The target in the request line.
    std::string target() const;
    /// Value of a header field; empty if it is absent.
    std::string header(const std::string &name) const;
};

/// The connection on which a script answers.
class ScriptPeer
{
public:
    explicit ScriptPeer(int descriptor) : descriptor_(descriptor) { }

    void send(const std::string &bytes) const;
    /// Sends bytes unless the other side has closed the connection.
    /// @return Whether all were sent.
    bool trySend(const std::string &bytes) const;
    /// Closes the connection with a reset instead of an orderly close, after the script returns.
    void reset();
    void close() { closed_ = true; }
    bool closed() const { return closed_; }
    /// Waits for the other side to close or reset the connection.
    /// @return Whether it did.
    bool waitForEnd(milliseconds time = seconds(2)) const;
    /// Waits up to two seconds for a reset, which discards data that has not been read yet.
    /// @return Whether it came.
    bool waitForReset() const;

private:
    int descriptor_;
    bool closed_ = false;
};

/// Answers HTTP requests on a loopback address by a script, with one thread for each connection.
class ScriptedServer
{
public:
    using Script = std::function<void(const SeenRequest &, ScriptPeer &)>;

    /// @param ip The loopback address that it listens on.
    explicit ScriptedServer(Script script, std::uint32_t ip = 0x7F000001);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    Endpoint endpoint() const { return endpoint_; }
    /// Requests read so far.
    std::vector<SeenRequest> seen() const;
    /// Number of requests read so far whose target begins with `target`.
    std::size_t count(const std::string &target) const;

private:
    void acceptLoop();
    void serve(int descriptor);

    Script script_;
    int listener_ = -1;
    Endpoint endpoint_;
    std::atomic<bool> stopping_ = false;
    mutable std::mutex mutex_;
    std::vector<SeenRequest> seen_;
    std::vector<int> descriptors_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// A complete response with a Content-Length.
std::string plainResponse(int status, const std::string &fields, const std::string &body);

/// Answer to a request, as far as it was received.
struct CallResult
{
    int status = 0;
    std::string head;
    std::string body;
    /// Whether the body is complete according to its head.
    bool whole = false;

    std::string header(const std::string &name) const;
};
/// Sends a request on a new connection and reads until the end of the answer or of the connection,
/// or until 8 s pass without a byte.
CallResult callServer(const Endpoint &to, const std::string &request);

/// A request whose caller can disconnect before the end of the answer.
class OpenCall
{
public:
    OpenCall(const Endpoint &to, const std::string &request);
    ~OpenCall();
    OpenCall(const OpenCall &) = delete;
    OpenCall &operator=(const OpenCall &) = delete;

    /// Waits up to two seconds until bytes of the answer arrive or the connection ends.
    /// @return Whether one of both happened.
    bool waitForBytes() const;
    void disconnect();

private:
    int descriptor_ = -1;
};

/// Checks a condition repeatedly until it holds or the time is over.
/// @return Whether it held.
bool eventually(const std::function<bool()> &condition, milliseconds within = seconds(10));

} // namespace wisteria::gateway_tests
