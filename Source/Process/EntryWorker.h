#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "Process/Error.h"
#include "Process/Metrics.h"
// A worker owns the routing state of its requests.
#include "Request/EntryRequest.h"

namespace wisteria {

/// One traffic thread of an entry: the callers' server, the connections to agents and the routing
/// state, all on one event loop.
class EntryWorker
{
public:
    /// @param shared State shared by all workers; outlives the worker, as metrics do.
    EntryWorker(const std::string &name, const std::string &failureDomain, EntryShared &shared,
                Metrics &metrics);

    /// Stops the thread and closes open requests.
    ~EntryWorker();
    EntryWorker(const EntryWorker &) = delete;
    EntryWorker &operator=(const EntryWorker &) = delete;

    /// Starts to accept callers; workers of one entry listen on the same port.
    /// @return The address with the port in use; BadSettings if it can't listen there.
    Result<std::string> listen(const std::string &address);

    /// Starts the thread. Call listen() first.
    void start();

    /// Changes the routing state on the worker's thread. Any thread may call it.
    void update(std::function<void(EntryState &, EntryShared &, TimePoint)> change);

    /// Answers 503 to GET /health from now on, so that the load balancer in front uses other
    /// entries.
    void announceShutdown();

    /// Accepts no new connections from now on.
    void stopListening();

    /// Number of requests that have not ended. Any thread may call it.
    std::size_t openRequests() const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
