#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>

struct MHD_Connection;

namespace wisteria::standin {

/// An HTTP request with its complete body.
class Request
{
public:
    Request(MHD_Connection *connection, std::string method, std::string path, std::string body);

    const std::string &method() const { return method_; }
    const std::string &path() const { return path_; }
    const std::string &body() const { return body_; }

    /// Value of a header, empty when absent.
    std::string header(const char *name) const;
    /// Number in the query part of the URL, or the fallback when absent.
    unsigned long queryNumber(const char *name, unsigned long fallback) const;

    /// The non-empty part of the path between a prefix and a suffix.
    /// @return Nothing when the path doesn't match.
    std::optional<std::string> pathBetween(const std::string &prefix,
                                           const std::string &suffix) const;

private:
    MHD_Connection *connection_;
    std::string method_;
    std::string path_;
    std::string body_;
};

/// Next part of a streamed answer: data, its regular end, or a cut connection.
struct Chunk
{
    enum class Kind { Data, End, Cut };
    Kind kind;
    std::string data;
};

/// A stand-in's answer: a body, a source of chunks, or a connection that is closed without an
/// answer.
struct Reply
{
    unsigned status = 200;
    std::string body = {};
    std::string contentType = "application/json";
    std::function<Chunk()> chunks = {};
    bool closeWithoutAnswer = false;
};

/// Answer with status 404 for an unknown path.
Reply notFound();

using Handler = std::function<Reply(const Request &)>;

/// Serves on 127.0.0.1 with a thread for each connection, so that a handler may block. Prints
/// "ready address=127.0.0.1:PORT". SIGTERM or SIGINT ends the process.
/// @param port 0 for a free port.
/// @return The exit code of the process when it can't listen.
int serve(unsigned short port, const Handler &handler);

/// Blocks the thread, to simulate a slow platform or a stalled backend server.
void sleepFor(std::chrono::milliseconds time);

} // namespace wisteria::standin
