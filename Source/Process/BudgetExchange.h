#pragma once

#include <map>
#include <string>

#include "Connection/PeerPool.h"
#include "Peer.pb.h"
#include "Process/EventLoop.h"
// Grants of budgets limit the requests that the entry admits.
#include "Request/BudgetOwner.h"
#include "Request/EntryState.h"
#include "Version/EntryMembers.h"

namespace wisteria {

/// Shares organisations' limits between entries, on the control loop: requests grants from the
/// owners of budgets, and grants from the budgets that this entry owns.
class BudgetExchange
{
public:
    /// @param shared Holds the entry's limits, to which grants are applied; outlives this object,
    /// as the loop and the peers do.
    BudgetExchange(EventLoop &loop, PeerPool &peers, EntryShared &shared, std::string ownName);

    /// Starts requesting grants; continues until the loop stops.
    void start();

    /// Sets the entries that serve callers. After a change, this entry grants nothing until the
    /// grants of former owners have expired.
    void setMembers(const EntryMembers &members, TimePoint now);

    /// Puts the declared organisations into force.
    void setOrganisations(const std::map<std::string, v1::Organisation> &organisations);

    /// Answers the request of another entry, or of this one.
    v1::BudgetGrant answer(const v1::BudgetRequest &request, TimePoint now);

private:
    void sendDueCalls();
    void send(const BudgetCall &call);
    void receiveGrant(const std::string &organisation, const v1::BudgetGrant &grant,
                      TimePoint sentAt);

    EventLoop &loop_;
    PeerPool &peers_;
    EntryShared &shared_;
    std::string ownName_;
    EntryMembers members_;
    BudgetOwner owner_;
};

} // namespace wisteria
