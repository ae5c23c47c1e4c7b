#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Process/AgentSettings.h"
#include "Process/AgentWorkerEvents.h"
#include "Process/Metrics.h"
// The worker owns the gate that its attempts pass.
#include "Request/AgentAdmission.h"
#include "Version/VmList.h"

namespace wisteria {

/// The traffic thread of an agent: takes attempts from entries, decides by the gate, calls the
/// backend server and streams its answers back, all on one event loop.
class AgentWorker
{
public:
    /// @param incarnation Differs between lives of the process.
    /// @param metrics Outlives the worker.
    AgentWorker(const AgentSettings &settings, std::uint64_t incarnation, Metrics &metrics,
                AgentWorkerEvents events);

    /// Stops the thread; cuts off what is still open.
    ~AgentWorker();
    AgentWorker(const AgentWorker &) = delete;
    AgentWorker &operator=(const AgentWorker &) = delete;

    /// Starts to take connections of peers.
    /// @return The address with the port in use; BadSettings when it can't be had.
    Result<std::string> listen(const std::string &address);

    /// Starts the thread; listen() comes before.
    void start();

    /// Takes a version of the configuration into force. Any thread may call it.
    void configure(std::shared_ptr<const ConfigState> config);

    /// Takes in the platform's list of VMs. Any thread may call it.
    void noteVms(VmView view);

    /// Takes no new work from now on. Any thread may call it.
    /// @param idle Called on the worker's thread once every answer has been taken by its entry.
    void leave(std::function<void()> idle);

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
