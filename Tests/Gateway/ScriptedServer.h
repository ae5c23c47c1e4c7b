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

/// One request as a scripted server read it.
struct SeenRequest
{
    std::string head;
    std::string body;
    /// Requests on the same connection before it.
    int before = 0;

    /// The first word after the method.
    std::string target() const;
    /// Value of a header, empty when absent.
    std::string header(const std::string &name) const;
};

/// The connection that a script answers on.
class ScriptPeer
{
public:
    explicit ScriptPeer(int descriptor) : descriptor_(descriptor) { }

    void send(const std::string &bytes) const;
    /// Makes the connection end with a reset instead of an orderly close.
    void reset();
    void close() { closed_ = true; }
    bool closed() const { return closed_; }
    /// Whether the other side has closed or reset the connection, waiting up to two seconds.
    bool waitForEnd() const;
    /// Whether it has reset it, which makes void what has not been read yet.
    bool waitForReset() const;

private:
    int descriptor_;
    bool closed_ = false;
};

/// Answers HTTP requests on a loopback address as a script says; a thread a connection.
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
    /// Those whose target begins so.
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

/// A response with a length.
std::string plainResponse(int status, const std::string &fields, const std::string &body);

/// Sends a request on a connection of its own and reads until the answer's end, the close or the
/// time limit.
struct CallResult
{
    int status = 0;
    std::string head;
    std::string body;
    /// The body ended as its head announced.
    bool whole = false;

    std::string header(const std::string &name) const;
};
CallResult callServer(const Endpoint &to, const std::string &request);

/// A request whose caller can leave before the answer's end.
class OpenCall
{
public:
    OpenCall(const Endpoint &to, const std::string &request);
    ~OpenCall();
    OpenCall(const OpenCall &) = delete;
    OpenCall &operator=(const OpenCall &) = delete;

    /// Waits for the first bytes of the answer.
    bool waitForBytes() const;
    void leave();

private:
    int descriptor_ = -1;
};

/// Asks for a condition again and again until it holds or the time is over.
bool eventually(const std::function<bool()> &condition, milliseconds within = seconds(10));

} // namespace wisteria::gateway_tests
