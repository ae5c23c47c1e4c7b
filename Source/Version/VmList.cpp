#include "Version/VmList.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "Process/BoundedJson.h"

namespace wisteria {

Result<std::map<std::string, VmState>> parseVmList(const std::string &body)
{
    std::map<std::string, VmState> list;
    const auto document = parseJsonObject(body);
    if (document.has_error()) {
        return failure(ErrorKind::BadInput,
                       "the list of VMs " + document.error().message
                           + "; check that the settings' vms.url names the platform's list");
    }
    try {
        for (const nlohmann::json &vm : document.value().at("vms")) {
            const bool leaving = vm.at("state").get<std::string>() == "leaving";
            list[vm.at("name").get<std::string>()] = leaving ? VmState::Leaving : VmState::Live;
        }
    } catch (const nlohmann::json::exception &error) {
        return failure(ErrorKind::BadInput,
                       std::string("the list of VMs can't be understood (") + error.what()
                           + "); check that the settings' vms.url names the platform's list");
    }
    return list;
}

void updateVmList(VmView &view, const std::map<std::string, VmState> &list, TimePoint now)
{
    if (!view.hasList)
        view.firstListAt = now;
    view.hasList = true;
    view.newestListAt = now;
    view.listed = list;
    for (const auto &[name, state] : list)
        view.lastListedAt[name] = now;
    // Bounds the memory. A dropped VM counts as gone, since lists arrived for over vmGoneAfter.
    std::erase_if(view.lastListedAt,
                  [&](const auto &vm) { return now - vm.second > 2 * vmGoneAfter; });
}

bool isVmGone(const VmView &view, const std::string &vm)
{
    if (!view.hasList || view.listed.contains(vm))
        return false;
    const auto found = view.lastListedAt.find(vm);
    const TimePoint lastListedAt = found == view.lastListedAt.end()
        ? view.firstListAt
        : std::max(view.firstListAt, found->second);
    return view.newestListAt - lastListedAt >= vmGoneAfter;
}

std::set<std::string> leavingVms(const VmView &view)
{
    std::set<std::string> leaving;
    for (const auto &[name, state] : view.listed) {
        if (state == VmState::Leaving)
            leaving.insert(name);
    }
    return leaving;
}

} // namespace wisteria
