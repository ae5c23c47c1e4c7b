#include "Request/RequestWorld.h"

#include <algorithm>

#include "Request/KeyHashing.h"
#include "Request/RoutingView.h"

namespace wisteria::test {

std::string nameOf(Step step)
{
    static const char *const names[] = {"caller to entry",  "entry to agent",  "agent to backend",
                                        "backend to agent", "agent's verdict", "agent's chunk",
                                        "agent's end",      "entry to caller"};
    return names[static_cast<int>(step)];
}

std::string nameOf(Fault fault)
{
    static const char *const names[] = {
        "lost",         "late",          "duplicated",  "reordered",          "sender killed",
        "rcvr killed",  "sender frozen", "rcvr frozen", "sender restarted",   "rcvr restarted",
        "misdelivered", "home left",     "home joined", "home joined before", "caller repeats"};
    return names[static_cast<int>(fault)];
}

namespace {

/// Whether a fault can affect a message. Callers are not part of the system: they are neither
/// killed nor frozen here, but hang up. TCP drops a duplicate on the same connection, and a
/// duplicate of a caller's request on another connection is a repeat.
bool hasEffect(Fault fault, Step step, const Node *sender, const Node *receiver, bool mayJoin)
{
    switch (fault) {
    case Fault::Duplicated:
        return step != Step::CallerToEntry && step != Step::AgentToBackend
            && step != Step::EntryToCaller;
    case Fault::OwnerJoined:
    case Fault::OwnerJoinedBefore:
        return mayJoin;
    case Fault::SenderKilled:
    case Fault::SenderFrozen:
    case Fault::SenderRestarted:
        return sender != nullptr;
    case Fault::ReceiverKilled:
    case Fault::ReceiverFrozen:
    case Fault::ReceiverRestarted:
        return receiver != nullptr;
    default:
        return true;
    }
}

} // namespace

std::string agentName(int agent)
{
    return "server-" + std::to_string(agent);
}

RequestWorld::RequestWorld(const WorldOptions &options)
    : now(seconds(1000)), options_(options), faultUsed_(options.faults.size(), false)
{
    v1::Object object;
    object.mutable_service()->set_name(serviceName);
    object.mutable_service()->set_queue_bound(options.queueBound);
    object.mutable_service()->set_default_deadline_ms(callDeadline.count());
    publish(v1::OBJECT_KIND_SERVICE, serviceName, object);
    object.mutable_organisation()->set_name("org");
    object.mutable_organisation()->set_requests_per_second(1e6);
    object.mutable_organisation()->set_burst(1'000'000);
    object.mutable_organisation()->set_concurrency(1'000'000);
    publish(v1::OBJECT_KIND_ORGANISATION, "org", object);
    for (int i = 0; i < options.agents; ++i) {
        v1::BackendServer &server = *object.mutable_backend_server();
        server.set_name(agentName(i));
        server.set_service(serviceName);
        server.set_agent_address("127.0.0.1:" + std::to_string(7000 + i));
        server.set_failure_domain("domain-" + std::to_string(i % 3));
        server.set_vm("vm-" + std::to_string(i));
        server.set_concurrency(options.concurrency);
        server.set_draining(options.lastAgentJoins && i == options.agents - 1);
        publish(v1::OBJECT_KIND_BACKEND_SERVER, agentName(i), object);
    }
    agents.resize(options.agents);
    backends.resize(options.agents);
    entries.resize(options.entries);
    for (int i = 0; i < options.agents; ++i) {
        backends[i].poisonFingerprints = &poisonFingerprints;
        startAgent(i);
    }
    for (int i = 0; i < options.entries; ++i)
        startEntry(i);
    handovers();
    now += settleTime;
    every(tickTime, [this] { everyTick(); });
    every(heartbeatTime, [this] { heartbeats(); });
}

WallTime RequestWorld::wall() const
{
    const auto sinceStart = std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
    return WallTime(milliseconds(1'700'000'000'000) + sinceStart);
}

void RequestWorld::publish(v1::ObjectKind kind, const std::string &name, const v1::Object &object)
{
    ++config.version;
    config.position = config.version;
    v1::VersionedObject &versioned = config.objects[{kind, name}];
    *versioned.mutable_object() = object;
    versioned.set_version(config.version);
    v1::SeenChange &seen = config.seen["change-" + std::to_string(config.version)];
    seen.set_offset(config.version);
    seen.set_accepted(true);
}

void RequestWorld::after(milliseconds delay, std::function<void()> action)
{
    ++pending_;
    events_.push({now + delay, ++sequence_, false, std::move(action)});
}

void RequestWorld::every(milliseconds period, const std::function<void()> &action)
{
    action();
    const auto again = [this, period, action] { every(period, action); };
    events_.push({now + period, ++sequence_, true, again});
}

void RequestWorld::run(milliseconds time)
{
    const TimePoint until = now + time;
    while (pending_ > 0 && events_.top().at <= until) {
        const Event event = events_.top();
        events_.pop();
        pending_ -= event.periodic ? 0 : 1;
        now = event.at;
        event.action();
    }
    now = until;
}

void RequestWorld::startAgent(int agent)
{
    AdmissionState admission;
    admission.ownAddress = "127.0.0.1:" + std::to_string(7000 + agent);
    admission.incarnation = wall().time_since_epoch().count();
    admission.guards = options_.guards;
    admission.backendUp = backends[agent].node.alive;
    agents[agent].admission = std::move(admission);
    agents[agent].streams.clear();
    agents[agent].node.alive = true;
    setAdmissionConfiguration(agents[agent].admission, config, agentName(agent), now, wall());
}

void RequestWorld::startEntry(int entry)
{
    Entry &started = entries[entry];
    started.state = EntryState();
    started.state.ownName = "entry-" + std::to_string(entry);
    started.state.failureDomain = "domain-0";
    started.state.guards = options_.guards;
    for (int i = 0; i < options_.entries; ++i)
        started.state.entryNames.push_back("entry-" + std::to_string(i));
    started.shared = std::make_unique<EntryShared>();
    started.node.alive = true;
    setConfiguration(started.state, *started.shared, config, now);
}

void RequestWorld::deliver(Node &node, int epoch, const std::function<void()> &action)
{
    if (!node.alive || node.epoch != epoch)
        return;
    if (node.frozen)
        node.inbox.push_back([this, &node, epoch, action] { deliver(node, epoch, action); });
    else
        action();
}

void RequestWorld::freeze(Node &node, milliseconds time)
{
    node.frozen = true;
    node.disturbed = true;
    after(time, [&node] {
        node.frozen = false;
        auto held = std::move(node.inbox);
        node.inbox.clear();
        for (const auto &action : held)
            action();
    });
}

bool RequestWorld::allFaultsApplied() const
{
    return faultsWithoutEffect_ == 0
        && std::all_of(faultUsed_.begin(), faultUsed_.end(), [](bool used) { return used; });
}

void RequestWorld::send(Step step, std::size_t call, Node *sender, Node *receiver,
                        const std::function<void()> &action)
{
    const int epoch = receiver ? receiver->epoch : 0;
    const auto transfer = [this, receiver, epoch, action] {
        if (receiver)
            deliver(*receiver, epoch, action);
        else
            action();
    };
    for (std::size_t i = 0; i < options_.faults.size(); ++i) {
        if (faultUsed_[i] || options_.faults[i].step != step || !calls[call]->faultsApply)
            continue;
        faultUsed_[i] = true;
        faultsWithoutEffect_ +=
            hasEffect(options_.faults[i].fault, step, sender, receiver, options_.lastAgentJoins)
            ? 0
            : 1;
        if (applyFault(options_.faults[i].fault, call, sender, receiver, transfer))
            return;
    }
    after(hopDelay, transfer);
}

/// Applies a fault to a message.
/// @return Whether the fault dropped or rescheduled the message; otherwise the caller delivers it.
bool RequestWorld::applyFault(Fault fault, std::size_t call, Node *sender, Node *receiver,
                              const std::function<void()> &transfer)
{
    switch (fault) {
    case Fault::Lost:
        return true;
    case Fault::Late:
        after(lateBy, transfer);
        return true;
    case Fault::Duplicated:
        after(reorderBy, transfer);
        return false;
    case Fault::Reordered:
        after(reorderBy, transfer);
        return true;
    case Fault::SenderKilled:
    case Fault::SenderRestarted:
        after(hopDelay + hopDelay, [=, this] { kill(sender, fault == Fault::SenderRestarted); });
        return false;
    case Fault::ReceiverKilled:
    case Fault::ReceiverRestarted:
        kill(receiver, fault == Fault::ReceiverRestarted);
        return false;
    case Fault::SenderFrozen:
        if (sender)
            freeze(*sender, frozenFor);
        return false;
    case Fault::ReceiverFrozen:
        if (receiver)
            freeze(*receiver, frozenFor);
        return false;
    case Fault::Misdelivered:
        for (std::size_t other = 0; other < calls.size(); ++other) {
            if (other != call && !calls[other]->result && calls[other]->entry == calls[call]->entry)
                calls[call]->misdeliveredTo = other;
        }
        faultsWithoutEffect_ += calls[call]->misdeliveredTo ? 0 : 1;
        return false;
    case Fault::OwnerLeft:
        if (const int owner = ownerOf(calls[call]->request.key); owner >= 0)
            setDraining(owner, true);
        return false;
    case Fault::OwnerJoined:
        if (options_.lastAgentJoins)
            setDraining(options_.agents - 1, false);
        return false;
    case Fault::OwnerJoinedBefore:
        return false;
    case Fault::CallerRepeats: {
        CallerRequest repeat = calls[call]->request;
        repeat.id = "request-" + std::to_string(++lastId_);
        ++repeat.callerTry;
        const int other = (calls[call]->entry + 1) % options_.entries;
        after(hopDelay, [=, this] { callWithRetries(repeat, other, false); });
        return false;
    }
    }
    return false;
}

void RequestWorld::kill(Node *node, bool restart)
{
    for (int i = 0; i < options_.agents; ++i) {
        if (node == &agents[i].node)
            killAgent(i, restart);
        if (node == &backends[i].node)
            killBackend(i, restart);
    }
    for (int i = 0; i < options_.entries; ++i) {
        if (node == &entries[i].node)
            killEntry(i, restart);
    }
}

void RequestWorld::killAgent(int agent, bool restart)
{
    Agent &killed = agents[agent];
    killed.node.alive = false;
    ++killed.node.epoch;
    for (const auto &[stream, callAndHead] : killed.streams) {
        const std::size_t call = callAndHead.first;
        Call &lost = *calls[call];
        after(hopDelay, [this, call, &lost, attempt = callAndHead.second.attempt()] {
            deliver(entries[lost.entry].node, lost.entryEpoch, [this, call, &lost, attempt] {
                if (lost.result || lost.state.attempt != attempt || !lost.state.outstanding)
                    return;
                Entry &entry = entries[lost.entry];
                if (lost.state.answering) {
                    answerEnded(entry.state, *entry.shared, lost.state, false, now);
                    finishCall(call, CallResult::Cut, v1::REASON_CONNECTION_LOST);
                } else {
                    act(call, attemptLost(entry.state, *entry.shared, lost.state, true, now));
                }
            });
        });
    }
    killed.streams.clear();
    if (restart) {
        after(restartTime, [this, agent] { startAgent(agent); });
        return;
    }
    after(seconds(2), [this, agent] {
        for (Agent &other : agents)
            vmGone(other.admission, "vm-" + std::to_string(agent), now, wall());
    });
}

void RequestWorld::killBackend(int agent, bool restart)
{
    Backend &backend = backends[agent];
    backend.node.alive = false;
    ++backend.node.epoch;
    ++backendDeaths;
    const std::set<StreamId> died = std::move(backend.running);
    backend.running.clear();
    deliver(agents[agent].node, agents[agent].node.epoch, [this, agent, died] {
        act(agent, backendHealth(agents[agent].admission, false, now));
        for (const StreamId stream : died)
            endRun(agent, stream, {BackendEnd::Died, 0, "", std::nullopt});
    });
    if (!restart)
        return;
    after(backendRestartTime, [this, agent] {
        backends[agent].node.alive = true;
        if (agents[agent].node.alive)
            act(agent, backendHealth(agents[agent].admission, true, now));
    });
}

void RequestWorld::killEntry(int entry, bool restart)
{
    entries[entry].node.alive = false;
    entries[entry].node.disturbed = true;
    for (std::size_t i = 0; i < calls.size(); ++i) {
        Call &call = *calls[i];
        if (call.entry != entry || call.entryEpoch != entries[entry].node.epoch || call.result)
            continue;
        cancelStream(i);
        finishCall(i, CallResult::ConnectionLost, v1::REASON_CONNECTION_LOST);
    }
    ++entries[entry].node.epoch;
    if (restart)
        after(restartTime, [this, entry] { startEntry(entry); });
}

void RequestWorld::setDraining(int agent, bool draining, bool informEntry1)
{
    v1::Object object =
        config.objects.at({v1::OBJECT_KIND_BACKEND_SERVER, agentName(agent)}).object();
    object.mutable_backend_server()->set_draining(draining);
    publish(v1::OBJECT_KIND_BACKEND_SERVER, agentName(agent), object);
    const auto changed = std::make_shared<ConfigState>(config);
    for (int i = 0; i < options_.agents; ++i) {
        after(i == agent ? hopDelay : configLag, [this, i, changed] {
            deliver(agents[i].node, agents[i].node.epoch, [this, i, changed] {
                act(i,
                    setAdmissionConfiguration(agents[i].admission, *changed, agentName(i), now,
                                              wall()));
            });
        });
    }
    for (int i = 0; i < (informEntry1 ? options_.entries : 1); ++i) {
        after(i == 0 ? hopDelay : 2 * configLag, [this, i, changed] {
            deliver(entries[i].node, entries[i].node.epoch, [this, i, changed] {
                setConfiguration(entries[i].state, *entries[i].shared, *changed, now);
            });
        });
    }
}

} // namespace wisteria::test
