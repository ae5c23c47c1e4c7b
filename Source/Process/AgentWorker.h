#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Process/AgentSettings.h"
#include "Process/AgentWorkerEvents.h"
#include "Process/Metrics.h"
// The worker owns the admission control of its attempts.
#include "Request/AgentAdmission.h"
#include "Version/VmList.h"

namespace wisteria {

/// The traffic thread of an agent: receives attempts from entries, applies admission control, calls
/// the backend server and streams its answers back, all on one event loop.
class AgentWorker
{
public:
    /// @param incarnation Differs between incarnations of the process.
    /// @param metrics Outlives the worker.
    AgentWorker(const AgentSettings &settings, std::uint64_t incarnation, Metrics &metrics,
                AgentWorkerEvents events);

    /// Stops the thread and closes open streams.
    ~AgentWorker();
    AgentWorker(const AgentWorker &) = delete;
    AgentWorker &operator=(const AgentWorker &) = delete;

    /// Starts to accept connections of peers.
    /// @return The address with the port in use; BadSettings if it can't listen there.
    Result<std::string> listen(const std::string &address);

    /// Starts the thread. Call listen() first.
    void start();

    /// Puts a version of the configuration into force. Any thread may call it.
    void configure(std::shared_ptr<const ConfigState> config);

    /// Applies the platform's list of VMs. Any thread may call it.
    void noteVms(VmView view);

    /// Begins draining: refuses new work from now on. Any thread may call it.
    /// @param idle Called on the worker's thread once nothing runs and no stream is open.
    void drain(std::function<void()> idle);

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
