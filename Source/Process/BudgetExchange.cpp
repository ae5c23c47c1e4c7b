#include "Process/BudgetExchange.h"

#include <utility>
#include <vector>

#include "Connection/PeerCall.h"

namespace wisteria {

BudgetExchange::BudgetExchange(EventLoop &loop, PeerPool &peers, EntryShared &shared,
                               std::string ownName)
    : loop_(loop), peers_(peers), shared_(shared), ownName_(std::move(ownName)),
      owner_(makeBudgetOwner({ownName_}, monotonicNow()))
{ }

void BudgetExchange::start()
{
    sendDueCalls();
    loop_.runAfter(urgentGrantInterval, [this] { start(); });
}

void BudgetExchange::setMembers(const EntryMembers &members, TimePoint now)
{
    members_ = members;
    setBudgetEntries(owner_, memberNames(members), now);
}

void BudgetExchange::setOrganisations(const std::map<std::string, v1::Organisation> &organisations)
{
    setBudgets(owner_, organisations);
}

v1::BudgetGrant BudgetExchange::answer(const v1::BudgetRequest &request, TimePoint now)
{
    return answerBudget(owner_, request, now);
}

void BudgetExchange::sendDueCalls()
{
    std::vector<BudgetCall> calls;
    {
        const std::lock_guard<std::mutex> lock(shared_.mutex);
        calls = budgetCalls(shared_.limits, monotonicNow());
    }
    for (const BudgetCall &call : calls)
        send(call);
}

void BudgetExchange::send(const BudgetCall &call)
{
    const TimePoint sentAt = monotonicNow();
    const std::string organisation = call.request.organisation();
    if (call.owner == ownName_)
        return receiveGrant(organisation, answer(call.request, sentAt), sentAt);
    const std::string address = memberAddress(members_, call.owner);
    // Without an owner, the entries use their static shares of the budget.
    if (address.empty())
        return;
    callPeer<v1::BudgetGrant>(
        peers_.clientFor(address), "/v1/grant", call.request,
        [this, organisation, sentAt](const std::optional<v1::BudgetGrant> &grant) {
            if (grant)
                receiveGrant(organisation, *grant, sentAt);
        });
}

void BudgetExchange::receiveGrant(const std::string &organisation, const v1::BudgetGrant &grant,
                                  TimePoint sentAt)
{
    const std::lock_guard<std::mutex> lock(shared_.mutex);
    applyGrant(shared_.limits, organisation, grant, sentAt);
}

} // namespace wisteria
