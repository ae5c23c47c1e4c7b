#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "Programs/Gateway/GatewayContext.h"
#include "Programs/Gateway/Session.h"

namespace wisteria {

/// The callers' connections of a gateway, the order in which their waiting requests are dispatched,
/// and the bound on what they hold together.
class CallerSessions
{
public:
    /// @param maxHeldBytes Bound on the bytes that all connections together hold.
    CallerSessions(GatewayContext &context, std::size_t maxHeldBytes);
    CallerSessions(const CallerSessions &) = delete;
    CallerSessions &operator=(const CallerSessions &) = delete;

    /// Takes over an accepted connection.
    void accept(int descriptor);

    /// Tries to dispatch the waiting requests at the end of the event loop's round.
    void scheduleDispatch();
    /// Tries to dispatch the waiting requests; see dispatchOrder().
    void dispatchWaiting();

    /// Checks the timeouts of all connections, and cuts some if all together hold too much.
    void checkTimeouts(TimePoint now);
    /// Closes all connections without a current request, once their callers have taken their
    /// answers; new ones only after they have had the time to send a request.
    void closeIdle(TimePoint now);
    /// Answers all open requests because the gateway exits.
    /// @param streams Whether streams that have begun are cut off too.
    void endForStop(bool streams, TimePoint now);

    std::size_t size() const { return sessions_.size(); }
    bool empty() const { return sessions_.empty(); }
    std::size_t waiting() const { return waiting_.size(); }
    /// Number of connections with a current request.
    std::size_t busy() const;
    /// Bytes of requests and answers that all connections hold.
    std::size_t heldBytes() const;

private:
    void end(std::uint64_t id);
    Exchange *waitingExchange(std::uint64_t id);
    void noteReceived(std::size_t bytes);
    void boundHeldBytes(TimePoint now);
    std::vector<std::uint64_t> ids() const;

    GatewayContext &context_;
    std::size_t maxHeldBytes_;
    std::map<std::uint64_t, std::unique_ptr<Session>> sessions_;
    /// Sessions whose request joined a queue, in that order.
    std::vector<std::uint64_t> waiting_;
    std::uint64_t lastSession_ = 0;
    bool dispatchScheduled_ = false;
    /// Bytes that callers have sent since the bound was last checked.
    std::size_t receivedBytes_ = 0;
    bool boundScheduled_ = false;
};

} // namespace wisteria
