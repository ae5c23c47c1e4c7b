#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "Process/Error.h"
#include "Process/Metrics.h"
// A worker owns the routing state that its requests decide by.
#include "Request/EntryRequest.h"

namespace wisteria {

/// One traffic thread of an entry: the callers' server, the connections to agents and the routing
/// state, all on one event loop.
class EntryWorker
{
public:
    /// @param shared What all workers share; outlives the worker, as metrics do.
    EntryWorker(const std::string &name, const std::string &failureDomain, EntryShared &shared,
                Metrics &metrics);

    /// Stops the thread; cuts off what is still open.
    ~EntryWorker();
    EntryWorker(const EntryWorker &) = delete;
    EntryWorker &operator=(const EntryWorker &) = delete;

    /// Starts to take callers; workers of one entry listen on the same port.
    /// @return The address with the port in use; BadSettings when it can't be had.
    Result<std::string> listen(const std::string &address);

    /// Starts the thread; listen() comes before.
    void start();

    /// Changes the routing state on the worker's thread. Any thread may call it.
    void update(std::function<void(EntryState &, EntryShared &, TimePoint)> change);

    /// Says 503 on GET /health from now on, so that the balancer in front sends callers elsewhere.
    void announceLeaving();

    /// Takes no new connections from now on.
    void stopListening();

    /// Requests without a whole answer so far. Any thread may call it.
    std::size_t openRequests() const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
