#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Connection/CallerConnection.h"

namespace wisteria {

/// Answer of a StatusListener.
struct StatusAnswer
{
    int status = 200;
    HttpFields fields{};
    std::string body{};
};

/// Answers short HTTP requests about the process, such as whether it is ready, on a separate port.
/// Must be used on its loop's thread only.
class StatusListener
{
public:
    using Answer = std::function<StatusAnswer(const HttpRequest &)>;

    StatusListener(EventLoop &loop, Answer answer);
    ~StatusListener();
    StatusListener(const StatusListener &) = delete;
    StatusListener &operator=(const StatusListener &) = delete;

    /// Starts listening.
    /// @return The bound address with its port; BadSettings when listening fails.
    Result<Endpoint> listen(const Endpoint &address);

private:
    void accept(int descriptor);
    void answer(std::uint64_t id, const HttpRequest &request);
    void end(std::uint64_t id);

    EventLoop &loop_;
    Answer answer_;
    TcpListener listener_;
    /// By connection number, oldest first.
    std::map<std::uint64_t, std::unique_ptr<CallerConnection>> connections_;
    std::uint64_t lastConnection_ = 0;
};

} // namespace wisteria
