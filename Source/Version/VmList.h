#pragma once

#include <map>
#include <set>
#include <string>

#include "Process/Error.h"
#include "Process/Time.h"

namespace wisteria {

/// State of a VM in the platform's list.
enum class VmState { Live, Leaving };

/// Maximum age of the data in an answer of the platform's list. Answers may arrive out of order, so
/// an answer may be older than the previous one by up to this time.
constexpr milliseconds maxVmListLag{30'000};
/// A VM that no list named for this long is gone. It is twice the lag: a VM that just started may
/// be missing for one lag, and a list may arrive after a newer one.
constexpr milliseconds vmGoneAfter = 2 * maxVmListLag;

/// The platform's lists as one process has received them.
struct VmView
{
    std::map<std::string, VmState> listed;
    /// When each VM was last named by a list.
    std::map<std::string, TimePoint> lastListedAt;
    /// When the first and the newest list arrived. Absence is measured up to the newest list, so no
    /// VM becomes gone while no list arrives.
    TimePoint firstListAt;
    TimePoint newestListAt;
    bool hasList = false;
};

/// Parses the platform's answer, {"vms":[{"name":"vm1","state":"live"}]}. Every state other than
/// "leaving" counts as live.
/// @return BadInput if it can't be parsed.
Result<std::map<std::string, VmState>> parseVmList(const std::string &body);

/// Applies a list that arrived at `now`.
void updateVmList(VmView &view, const std::map<std::string, VmState> &list, TimePoint now);

/// Whether the VM is certainly gone, so that no process runs on it any more.
bool isVmGone(const VmView &view, const std::string &vm);

/// VMs in state `Leaving` in the newest list.
std::set<std::string> leavingVms(const VmView &view);

} // namespace wisteria
