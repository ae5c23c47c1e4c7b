#include "Programs/Gateway/DispatchOrder.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace wisteria {

namespace {

/// Position of a waiting request in the order of dispatch: by priority, then by start tag. The
/// start tag is 0 for all requests where organisations don't share fairly.
struct DispatchKey
{
    std::uint32_t priority = 0;
    double startTag = 0;
    std::uint64_t id = 0;
};

} // namespace

std::vector<std::uint64_t> dispatchOrder(const std::vector<WaitingRequest> &waiting,
                                         const OrganisationShares *shares, TimePoint now)
{
    std::vector<DispatchKey> keys;
    keys.reserve(waiting.size());
    // Without the requests ahead, all waiting requests of one organisation would come before those
    // of another that has one start more.
    std::map<std::pair<std::uint32_t, std::string>, std::size_t> ahead;
    for (const WaitingRequest &request : waiting) {
        DispatchKey key{.priority = request.priority, .startTag = 0, .id = request.id};
        if (shares != nullptr) {
            std::size_t &ownAhead = ahead[{request.priority, request.organisation}];
            key.startTag = startTagOf(*shares, request.organisation, ownAhead++, now);
        }
        keys.push_back(key);
    }
    std::stable_sort(keys.begin(), keys.end(), [](const DispatchKey &a, const DispatchKey &b) {
        return std::tie(a.priority, a.startTag) < std::tie(b.priority, b.startTag);
    });
    std::vector<std::uint64_t> order;
    order.reserve(keys.size());
    for (const DispatchKey &key : keys)
        order.push_back(key.id);
    return order;
}

} // namespace wisteria
