#pragma once

#include <map>
#include <string>

#include "Connection/PeerPool.h"
#include "Peer.pb.h"
#include "Process/EventLoop.h"
// Budgets are leased for the requests that the entry admits.
#include "Request/BudgetOwner.h"
#include "Request/EntryState.h"
#include "Version/EntryMembers.h"

namespace wisteria {

/// Leases parts of organisations' limits between entries, on the control loop: asks the owners of
/// budgets for grants, and answers for the budgets that this entry owns.
class BudgetExchange
{
public:
    /// @param shared The entry's limits, which grants go into; outlives this object, as the loop
    /// and the peers do.
    BudgetExchange(EventLoop &loop, PeerPool &peers, EntryShared &shared, std::string ownName);

    /// Begins; goes on until the loop stops.
    void start();

    /// Takes in who shares the work. A change of owners begins with a pause in which grants of
    /// former owners run out.
    void setMembers(const EntryMembers &members, TimePoint now);

    /// Takes declared organisations into force.
    void setOrganisations(const std::map<std::string, v1::Organisation> &organisations);

    /// Answers another entry, or this one.
    v1::BudgetGrant answer(const v1::BudgetRequest &request, TimePoint now);

private:
    void askAll();
    void ask(const BudgetCall &call);
    void take(const std::string &organisation, const v1::BudgetGrant &grant, TimePoint sentAt);

    EventLoop &loop_;
    PeerPool &peers_;
    EntryShared &shared_;
    std::string ownName_;
    EntryMembers members_;
    BudgetOwner owner_;
};

} // namespace wisteria
