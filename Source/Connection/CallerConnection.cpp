#include "Connection/CallerConnection.h"

#include <utility>

namespace wisteria {

CallerConnection::CallerConnection(EventLoop &loop, int descriptor, HttpLimitsSource limits,
                                   CallerEvents events)
    : events_(std::move(events)), reader_(std::move(limits)), waitingSince_(monotonicNow())
{
    tcp_ = TcpConnection::adopt(loop, descriptor,
                                {.connected = {},
                                 .received = [this](std::string_view bytes) { feed(bytes); },
                                 .ended =
                                     [this](TcpEnd) {
                                         const auto closed = events_.closed;
                                         closed();
                                     },
                                 .drained = [this] { events_.drained(); }});
}

void CallerConnection::feed(std::string_view bytes)
{
    if (closing_)
        return;
    if (events_.received)
        events_.received(bytes.size());
    if (!reader_.requestStarted())
        waitingSince_ = monotonicNow();
    reader_.feed(bytes);
    if (answering_) {
        tcp_->pauseReading(reader_.buffered() > maxPipelinedBytes);
        return;
    }
    handleNext();
}

/// Handles the buffered requests one after the other, as long as each is answered at once. In a
/// call for each of them, a caller that sends thousands of requests would exhaust the stack.
void CallerConnection::handleNext()
{
    if (handling_)
        return;
    handling_ = true;
    do {
        handleOne();
    } while (!answering_ && !closing_
             && (reader_.complete() || reader_.fault() != RequestFault::None));
    handling_ = false;
}

void CallerConnection::handleOne()
{
    if (reader_.fault() != RequestFault::None) {
        answering_ = true;
        events_.fault(reader_.fault());
        return;
    }
    if (reader_.complete()) {
        answering_ = true;
        events_.request(reader_.takeRequest());
        return;
    }
    if (reader_.expectsContinue())
        tcp_->send("HTTP/1.1 100 Continue\r\n\r\n");
}

void CallerConnection::allowPauses()
{
    // What is held for callers that never read is bounded in bytes.
    constexpr milliseconds longestPause{30000};
    tcp_->setPeerTimeout(longestPause);
}

void CallerConnection::finishAnswer(TimePoint now)
{
    answering_ = false;
    waitingSince_ = now;
    tcp_->pauseReading(false);
    handleNext();
}

void CallerConnection::close()
{
    closing_ = true;
    tcp_->closeWhenDrained();
}

void CallerConnection::abort()
{
    closing_ = true;
    tcp_.reset();
}

} // namespace wisteria
