#pragma once

#include <atomic>
#include <mutex>
#include <string_view>

#include <spdlog/sinks/base_sink.h>

#include "Process/Time.h"

namespace wisteria {

/// Writes log lines to standard output and never stands in a write.
///
/// A reader that stops reading fills the pipe. The library's own sink then waits in write() for
/// good, and a process that is told to stop can't end, as its log's thread has to be joined. This
/// one asks whether there is room first, and gives up once the process is ending.
class OutputSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    /// @param descriptor Where lines go; stays open.
    explicit OutputSink(int descriptor) : descriptor_(descriptor) { }

    /// From that moment on lines that nobody reads are dropped instead of waited for.
    void giveUpAt(TimePoint moment);

private:
    void sink_it_(const spdlog::details::log_msg &message) override;
    void flush_() override { }
    void writeAll(std::string_view bytes);
    bool waitForRoom() const;

    int descriptor_;
    std::atomic<TimePoint> giveUpAt_ = TimePoint::max();
};

} // namespace wisteria
