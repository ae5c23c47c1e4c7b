#pragma once

#include <map>
#include <set>
#include <string>

#include "Process/Error.h"
#include "Process/Time.h"

namespace wisteria {

/// What the platform's list says of a VM.
enum class VmState { Live, Leaving };

/// How far the platform's list may lag behind, and one answer of it behind another.
constexpr milliseconds vmListLag{30'000};
/// A VM that no list named for this long is gone. Twice the lag: a VM that just started may be
/// missing for one, and a list older than the last one may come after it.
constexpr milliseconds vmGoneAfter = 2 * vmListLag;

/// The platform's list as one process has seen it.
struct VmView
{
    std::map<std::string, VmState> listed;
    /// When each VM was last named by a list.
    std::map<std::string, TimePoint> lastListed;
    /// When the first and the newest list came; nothing ages while no list comes.
    TimePoint firstList;
    TimePoint newestList;
    bool any = false;
};

/// Reads the platform's answer, {"vms":[{"name":"vm1","state":"live"}]}.
/// @return BadInput when it can't be understood.
Result<std::map<std::string, VmState>> parseVmList(const std::string &body);

/// Takes in a list.
void updateVmList(VmView &view, const std::map<std::string, VmState> &list, TimePoint now);

/// Whether the VM is proved to be gone, so that nothing runs on it any more.
bool isVmGone(const VmView &view, const std::string &vm);

/// VMs that the newest list names as leaving.
std::set<std::string> leavingVms(const VmView &view);

} // namespace wisteria
