#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Version/VmList.h"

namespace wisteria {

/// Asks the platform for its list of VMs on a thread of its own.
class VmWatcher
{
public:
    using Seen = std::function<void(VmView)>;

    /// @param url Base of the service that has the list.
    /// @param seen Called on the watcher's thread after each list.
    VmWatcher(const std::string &url, Seen seen);

    /// Stops and waits for the thread, about a second at most.
    ~VmWatcher();
    VmWatcher(const VmWatcher &) = delete;
    VmWatcher &operator=(const VmWatcher &) = delete;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
