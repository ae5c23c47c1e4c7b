#include "Process/BudgetExchange.h"

#include <utility>
#include <vector>

#include "Connection/PeerCall.h"

namespace wisteria {

BudgetExchange::BudgetExchange(EventLoop &loop, PeerPool &peers, EntryShared &shared,
                               std::string ownName)
    : loop_(loop), peers_(peers), shared_(shared), ownName_(std::move(ownName)),
      owner_(startBudgetOwner({ownName_}, monotonicNow()))
{ }

void BudgetExchange::start()
{
    askAll();
    loop_.runAfter(hungryInterval, [this] { start(); });
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

void BudgetExchange::askAll()
{
    std::vector<BudgetCall> calls;
    {
        const std::lock_guard<std::mutex> lock(shared_.mutex);
        calls = budgetCalls(shared_.limits, monotonicNow());
    }
    for (const BudgetCall &call : calls)
        ask(call);
}

void BudgetExchange::ask(const BudgetCall &call)
{
    const TimePoint sentAt = monotonicNow();
    const std::string organisation = call.request.organisation();
    if (call.owner == ownName_)
        return take(organisation, answer(call.request, sentAt), sentAt);
    const std::string address = memberAddress(members_, call.owner);
    // Without its owner a budget falls back to the static shares.
    if (address.empty())
        return;
    callPeer<v1::BudgetGrant>(
        peers_.clientFor(address), "/v1/grant", call.request,
        [this, organisation, sentAt](const std::optional<v1::BudgetGrant> &grant) {
            if (grant)
                take(organisation, *grant, sentAt);
        });
}

void BudgetExchange::take(const std::string &organisation, const v1::BudgetGrant &grant,
                          TimePoint sentAt)
{
    const std::lock_guard<std::mutex> lock(shared_.mutex);
    grantArrived(shared_.limits, organisation, grant, sentAt);
}

} // namespace wisteria
