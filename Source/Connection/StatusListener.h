#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Connection/CallerConnection.h"

namespace wisteria {

/// What the process says of itself.
struct StatusAnswer
{
    int status = 200;
    HttpFields fields{};
    std::string body{};
};

/// Answers short questions about the process, such as whether it takes callers, on a port of its
/// own. Belongs to the thread of its loop.
class StatusListener
{
public:
    using Answer = std::function<StatusAnswer(const HttpRequest &)>;

    StatusListener(EventLoop &loop, Answer answer);
    ~StatusListener();
    StatusListener(const StatusListener &) = delete;
    StatusListener &operator=(const StatusListener &) = delete;

    /// @return The address with the port in use; BadSettings when it can't be had.
    Result<Endpoint> listen(const Endpoint &address);

private:
    void accept(int descriptor);
    void answer(std::uint64_t id, const HttpRequest &request);
    void end(std::uint64_t id);

    EventLoop &loop_;
    Answer answer_;
    TcpListener listener_;
    /// By number, the oldest first.
    std::map<std::uint64_t, std::unique_ptr<CallerConnection>> connections_;
    std::uint64_t lastConnection_ = 0;
};

} // namespace wisteria
