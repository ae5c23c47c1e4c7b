#pragma once

#include <atomic>
#include <mutex>
#include <string_view>

#include <spdlog/sinks/base_sink.h>

#include "Process/Time.h"

namespace wisteria {

/// Log sink that writes to a descriptor without blocking in write().
///
/// A reader that stops reading fills the pipe. spdlog's stdout sink then blocks in write()
/// indefinitely, and the process can't shut down because it has to join the log's thread. This
/// sink polls until the descriptor is writable, and drops lines after a deadline.
class OutputSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    /// @param descriptor Descriptor to write to; the sink does not close it.
    explicit OutputSink(int descriptor) : descriptor_(descriptor) { }

    /// After the deadline the sink drops all lines.
    void setDeadline(TimePoint deadline);

private:
    void sink_it_(const spdlog::details::log_msg &message) override;
    void flush_() override { }
    void writeAll(std::string_view bytes);
    bool waitUntilWritable() const;

    int descriptor_;
    std::atomic<TimePoint> deadline_ = TimePoint::max();
};

} // namespace wisteria
