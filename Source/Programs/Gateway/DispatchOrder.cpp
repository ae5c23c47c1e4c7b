#include "Programs/Gateway/DispatchOrder.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace wisteria {

std::vector<std::uint64_t> dispatchOrder(const std::vector<WaitingRequest> &waiting,
                                         const OrganisationShares *shares, TimePoint now)
{
    struct Turn
    {
        std::uint32_t priority = 0;
        double turn = 0;
        std::uint64_t id = 0;
    };
    std::vector<Turn> turns;
    turns.reserve(waiting.size());
    // Without the requests ahead, all waiting requests of one organisation would come before those
    // of another that has one start more.
    std::map<std::pair<std::uint32_t, std::string>, std::size_t> ahead;
    for (const WaitingRequest &request : waiting) {
        Turn turn{.priority = request.priority, .turn = 0, .id = request.id};
        if (shares != nullptr) {
            std::size_t &ownAhead = ahead[{request.priority, request.organisation}];
            turn.turn = turnOf(*shares, request.organisation, ownAhead++, now);
        }
        turns.push_back(turn);
    }
    std::stable_sort(turns.begin(), turns.end(), [](const Turn &a, const Turn &b) {
        return std::tie(a.priority, a.turn) < std::tie(b.priority, b.turn);
    });
    std::vector<std::uint64_t> order;
    order.reserve(turns.size());
    for (const Turn &turn : turns)
        order.push_back(turn.id);
    return order;
}

} // namespace wisteria
