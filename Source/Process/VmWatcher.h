#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Version/VmList.h"

namespace wisteria {

/// Polls the platform's list of VMs on a background thread.
class VmWatcher
{
public:
    using OnUpdate = std::function<void(VmView)>;

    /// @param url Base URL of the service that has the list.
    /// @param onUpdate Called on the watcher's thread after each list that was received.
    VmWatcher(const std::string &url, OnUpdate onUpdate);

    /// Stops the thread and waits for it, for up to about one second.
    ~VmWatcher();
    VmWatcher(const VmWatcher &) = delete;
    VmWatcher &operator=(const VmWatcher &) = delete;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
