#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "Connection/HttpReader.h"
#include "Connection/TcpConnection.h"

namespace wisteria {

/// What the owner of a caller's connection is told.
struct CallerEvents
{
    std::function<void(HttpRequest)> request;
    /// The bytes are no request that can be answered as one.
    std::function<void(RequestFault)> fault;
    /// The caller closed or the connection broke.
    std::function<void()> left;
    /// Everything sent has gone out.
    std::function<void()> drained;
};

/// A caller's connection: one request at a time, the next one only after its answer.
class CallerConnection
{
public:
    CallerConnection(EventLoop &loop, int descriptor, const HttpLimits &limits,
                     CallerEvents events);

    /// Sends a part of an answer.
    void send(std::string_view bytes) { tcp_->send(bytes); }

    /// The answer is out; goes on to the next request.
    void finishAnswer(TimePoint now);

    /// Closes once everything has gone out.
    void close();

    /// Closes at once, so that an unfinished answer can't look complete.
    void abort();

    std::size_t queued() const { return tcp_ ? tcp_->queued() : 0; }
    bool answering() const { return answering_; }
    /// Since when the connection has waited for a request, or for the rest of one.
    TimePoint waitingSince() const { return waitingSince_; }
    /// A part of a request is there.
    bool requestBegun() const { return reader_.begun(); }

private:
    void feed(std::string_view bytes);
    void next();

    /// Bytes of further requests that a caller may send ahead of an answer.
    static constexpr std::size_t aheadBytes = 65536;

    CallerEvents events_;
    RequestReader reader_;
    std::unique_ptr<TcpConnection> tcp_;
    bool answering_ = false;
    bool closing_ = false;
    TimePoint waitingSince_;
};

} // namespace wisteria
