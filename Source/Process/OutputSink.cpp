#include "Process/OutputSink.h"

#include <algorithm>
#include <cerrno>

#include <poll.h>
#include <unistd.h>

namespace wisteria {

namespace {

/// Timeout of one poll(); the sink then checks the deadline again.
constexpr int pollMilliseconds = 50;
/// Maximum size of one write. A pipe that poll() reports as writable has space for a page, so a
/// write of this size does not block.
constexpr std::size_t maxWriteSize = 4096;

} // namespace

void OutputSink::setDeadline(TimePoint deadline)
{
    deadline_ = deadline;
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
        if (!waitUntilWritable())
            return;
        const ssize_t written =
            ::write(descriptor_, bytes.data(), std::min(bytes.size(), maxWriteSize));
        const bool retryable = written < 0 && (errno == EAGAIN || errno == EINTR);
        // A failure of the output itself can't be reported anywhere.
        if (written < 0 && !retryable)
            return;
        if (written > 0)
            bytes.remove_prefix(static_cast<std::size_t>(written));
    }
}

bool OutputSink::waitUntilWritable() const
{
    pollfd output{descriptor_, POLLOUT, 0};
    while (monotonicNow() < deadline_.load()) {
        if (::poll(&output, 1, pollMilliseconds) != 0)
            return true;
    }
    return false;
}

} // namespace wisteria
