#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>

struct MHD_Connection;

namespace wisteria::standin {

/// One HTTP request, as a stand-in sees it once its body is whole.
class Exchange
{
public:
    Exchange(MHD_Connection *connection, std::string method, std::string path, std::string body);

    const std::string &method() const { return method_; }
    const std::string &path() const { return path_; }
    const std::string &body() const { return body_; }

    /// Value of a header, empty when absent.
    std::string header(const char *name) const;
    /// Number in the query part of the address, or the fallback when absent.
    unsigned long queryNumber(const char *name, unsigned long fallback) const;

    /// The part of the path between a prefix and a suffix, or nothing when it doesn't match.
    std::optional<std::string> pathBetween(const std::string &prefix,
                                           const std::string &suffix) const;

private:
    MHD_Connection *connection_;
    std::string method_;
    std::string path_;
    std::string body_;
};

/// What a stream gives next.
struct Chunk
{
    enum class Kind { Data, End, Cut };
    Kind kind;
    std::string data;
};

/// A stand-in's answer: a body, or a source of chunks, or a connection closed without a word.
struct Reply
{
    unsigned status = 200;
    std::string body = {};
    std::string contentType = "application/json";
    std::function<Chunk()> chunks = {};
    bool closeWithoutAnswer = false;
};

Reply notFound();

using Handler = std::function<Reply(const Exchange &)>;

/// Serves on 127.0.0.1 with a thread for each connection, so that a handler may block. Prints
/// "ready address=127.0.0.1:PORT" and returns after SIGTERM or SIGINT.
/// @param port 0 for a free one.
/// @return The process's exit code.
int serve(unsigned short port, const Handler &handler);

/// Waits, as a slow platform or a stalled backend server does.
void pauseFor(std::chrono::milliseconds time);

} // namespace wisteria::standin
