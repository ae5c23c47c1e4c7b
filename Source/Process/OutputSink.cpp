#include "Process/OutputSink.h"

#include <algorithm>
#include <cerrno>

#include <poll.h>
#include <unistd.h>

namespace wisteria {

namespace {

/// Longest wait before the sink looks whether the process is ending.
constexpr int waitMilliseconds = 50;
/// Bytes of one write. Where poll() finds a pipe writable there is room for a page, so a write of
/// that size does not wait.
constexpr std::size_t bytesAtOnce = 4096;

} // namespace

void OutputSink::giveUpAt(TimePoint moment)
{
    giveUpAt_ = moment;
}

void OutputSink::sink_it_(const spdlog::details::log_msg &message)
{
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    writeAll({line.data(), line.size()});
}

void OutputSink::writeAll(std::string_view bytes)
{
    while (!bytes.empty()) {
        if (!waitForRoom())
            return;
        const ssize_t written =
            ::write(descriptor_, bytes.data(), std::min(bytes.size(), bytesAtOnce));
        const bool again = written < 0 && (errno == EAGAIN || errno == EINTR);
        // Nobody is there to be told that the output is gone.
        if (written < 0 && !again)
            return;
        if (written > 0)
            bytes.remove_prefix(static_cast<std::size_t>(written));
    }
}

bool OutputSink::waitForRoom() const
{
    pollfd output{descriptor_, POLLOUT, 0};
    while (monotonicNow() < giveUpAt_.load()) {
        if (::poll(&output, 1, waitMilliseconds) != 0)
            return true;
    }
    return false;
}

} // namespace wisteria
