// Stand-in for the platform's list of live and leaving VMs. A change shows only after a set delay.

#include <deque>
#include <mutex>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "StandIns/HttpStandIn.h"

namespace wisteria::standin {

namespace {

using Clock = std::chrono::steady_clock;
using nlohmann::json;

class VmList
{
public:
    explicit VmList(std::chrono::milliseconds lag) : lag_(lag) { }

    /// GET /vms reads the list, PUT /vms replaces it, PUT /vms/NAME sets the state of one VM.
    Reply handle(const Request &request)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (request.path() == "/vms" && request.method() == "GET")
            return Reply{.body = json({{"vms", visibleVms()}}).dump()};
        const json body = json::parse(request.body(), nullptr, false);
        if (request.method() != "PUT" || !body.is_object())
            return notFound();
        if (request.path() == "/vms")
            addRevision(body.value("vms", json::array()));
        else if (const auto name = request.pathBetween("/vms/", ""))
            addRevision(withState(*name, body.value("state", "live")));
        return Reply{.body = "{}"};
    }

private:
    struct Revision
    {
        Clock::time_point since;
        json vms;
    };

    void addRevision(json vms) { revisions_.push_back({Clock::now(), std::move(vms)}); }

    json withState(const std::string &name, const std::string &state) const
    {
        json vms = revisions_.back().vms;
        for (json &vm : vms) {
            if (vm["name"] == name) {
                vm["state"] = state;
                return vms;
            }
        }
        vms.push_back({{"name", name}, {"state", state}});
        return vms;
    }

    const json &visibleVms()
    {
        const auto visibleSince = Clock::now() - lag_;
        while (revisions_.size() > 1 && revisions_[1].since <= visibleSince)
            revisions_.pop_front();
        return revisions_.front().vms;
    }

    const std::chrono::milliseconds lag_;
    std::mutex mutex_;
    std::deque<Revision> revisions_ = {{Clock::time_point(), json::array()}};
};

} // namespace

} // namespace wisteria::standin

int main(int argc, char **argv)
{
    TCLAP::CmdLine command("Stand-in for the platform's list of VMs");
    TCLAP::ValueArg<unsigned short> port("", "port", "0 for a free port", false, 0, "port");
    TCLAP::ValueArg<unsigned> lag("", "lag-ms", "Time before a change shows", false, 0, "ms");
    command.add(port);
    command.add(lag);
    command.parse(argc, argv);
    wisteria::standin::VmList list(std::chrono::milliseconds(lag.getValue()));
    return wisteria::standin::serve(port.getValue(),
                                    [&](const auto &request) { return list.handle(request); });
}
