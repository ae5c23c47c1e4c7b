#include <algorithm>

#include "Request/RequestWorld.h"

namespace wisteria::test {

void RequestWorld::act(int agent, const AdmissionActions &actions)
{
    for (const AdmissionAction &action : actions) {
        if (const auto *start = std::get_if<StartBackend>(&action))
            startBackend(agent, start->stream);
        if (const auto *refuse = std::get_if<RefuseAttempt>(&action)) {
            v1::AgentFrame frame;
            *frame.mutable_verdict() = refuse->verdict;
            sendFrame(Step::AgentVerdict, agent, refuse->stream, frame);
        }
        if (const auto *replay = std::get_if<ReplayAnswer>(&action))
            sendAnswer(agent, replay->stream, replay->body);
        if (const auto *cancel = std::get_if<CancelBackend>(&action))
            backends[agent].running.erase(cancel->stream);
    }
}

void RequestWorld::startBackend(int agent, StreamId stream)
{
    const auto found = agents[agent].streams.find(stream);
    if (found == agents[agent].streams.end())
        return;
    const std::size_t call = found->second.first;
    const v1::RunHead head = found->second.second;
    for (const AgentAttempt &run : agents[agent].admission.running) {
        if (run.stream == stream && run.deadline <= now)
            seenViolations_.push_back("a run began past its deadline");
    }
    const int agentEpoch = agents[agent].node.epoch;
    if (!backends[agent].node.alive) {
        after(hopDelay, [=, this] {
            deliver(agents[agent].node, agentEpoch, [=, this] {
                endRun(agent, stream, {BackendEnd::NotConnected, 0, "", std::nullopt});
            });
        });
        return;
    }
    backends[agent].running.insert(stream);
    send(Step::AgentToBackend, call, &agents[agent].node, &backends[agent].node,
         [=, this] { backendRuns(agent, stream, call, head); });
}

void RequestWorld::backendRuns(int agent, StreamId stream, std::size_t call,
                               const v1::RunHead &head)
{
    Backend &backend = backends[agent];
    if (backend.running.count(stream) == 0 || !backend.received.insert(stream).second)
        return;
    const std::string identity = head.idempotent() ? head.request_id() : head.key();
    if (!backend.stalled)
        runs[identity].push_back(head.caller_attempt());
    if (poisonFingerprints.count(head.fingerprint()) > 0) {
        after(milliseconds(2), [this, agent, epoch = backend.node.epoch] {
            if (backends[agent].node.epoch == epoch && backends[agent].node.alive)
                killBackend(agent, true);
        });
        return;
    }
    if (backend.stalled)
        return;
    after(serviceTime, [=, this] {
        deliver(backends[agent].node, backends[agent].node.epoch, [=, this] {
            if (backends[agent].running.count(stream) == 0)
                return;
            send(Step::BackendToAgent, call, &backends[agent].node, &agents[agent].node, [=, this] {
                backends[agent].running.erase(stream);
                endRun(agent, stream,
                       {BackendEnd::Answered, 200, "text/plain",
                        "answer to " + std::to_string(head.fingerprint())});
            });
        });
    });
}

void RequestWorld::endRun(int agent, StreamId stream, const BackendResult &result)
{
    const auto &running = agents[agent].admission.running;
    const bool known =
        std::any_of(running.begin(), running.end(),
                    [stream](const AgentAttempt &run) { return run.stream == stream; });
    const AdmissionActions actions = backendEnded(agents[agent].admission, stream, result, now);
    if (known && result.kind == BackendEnd::Answered)
        sendAnswer(agent, stream, *result.body);
    act(agent, actions);
}

void RequestWorld::sendAnswer(int agent, StreamId stream, const std::string &body)
{
    v1::AgentFrame frame;
    frame.mutable_verdict()->set_kind(v1::VERDICT_KIND_ACCEPTED);
    frame.mutable_verdict()->set_http_status(200);
    sendFrame(Step::AgentVerdict, agent, stream, frame);
    frame.set_chunk(body);
    sendFrame(Step::AgentChunk, agent, stream, frame);
    frame.mutable_end()->set_complete(true);
    frame.mutable_end()->set_bytes(body.size());
    sendFrame(Step::AgentEnd, agent, stream, frame);
}

void RequestWorld::sendFrame(Step step, int agent, StreamId stream, v1::AgentFrame frame)
{
    const auto found = agents[agent].streams.find(stream);
    if (found == agents[agent].streams.end())
        return;
    const std::size_t call = found->second.first;
    const v1::RunHead head = found->second.second;
    frame.set_request_id(head.request_id());
    frame.set_attempt(head.attempt());
    *frame.mutable_load() = loadReport(agents[agent].admission);
    Call &receiver = *calls[call];
    Node &entry = entries[receiver.entry].node;
    if (entry.epoch != receiver.entryEpoch)
        return;
    send(step, call, &agents[agent].node, &entry, [this, call, frame] {
        frameArrived(call, frame);
        if (calls[call]->misdeliveredTo)
            frameArrived(*calls[call]->misdeliveredTo, frame);
    });
}

void RequestWorld::everyTick()
{
    for (int i = 0; i < options_.agents; ++i) {
        if (agents[i].node.alive && !agents[i].node.frozen)
            act(i, tick(agents[i].admission, now, wall()));
    }
    while (firstOpen_ < calls.size() && calls[firstOpen_]->result)
        ++firstOpen_;
    for (std::size_t i = firstOpen_; i < calls.size(); ++i) {
        Call &call = *calls[i];
        const bool open = call.startedAt != TimePoint() && !call.result && !call.state.ended;
        const Node &entry = entries[call.entry].node;
        if (!open || entry.frozen || entry.epoch != call.entryEpoch || call.state.deadline > now)
            continue;
        Entry &at = entries[call.entry];
        if (call.state.answering) {
            cancelStream(i);
            answerEnded(at.state, *at.shared, call.state, false, now);
            finishCall(i, CallResult::Cut, v1::REASON_DEADLINE);
        } else {
            act(i, deadlinePassed(at.state, *at.shared, call.state, now));
        }
    }
    handovers();
}

void RequestWorld::heartbeats()
{
    for (Entry &entry : entries) {
        if (!entry.node.alive || entry.node.frozen)
            continue;
        for (const std::string &name : heartbeatTargets(entry.state)) {
            Agent &agent = agents[agentNamed(name)];
            if (!agent.node.alive || agent.node.frozen) {
                observeUnreachable(entry.state, name, now);
                continue;
            }
            observeLoad(entry.state, name, loadReport(agent.admission),
                        agent.admission.configVersion, now);
            v1::Heartbeat heartbeat;
            for (const v1::SuspectReport &report : suspectReports(agent.admission.suspects, now))
                *heartbeat.add_suspects() = report;
            for (const v1::SuspectReport &report : suspectsToReport(*entry.shared, now))
                mergeSuspectReport(agent.admission.suspects, report, now);
            mergeSuspects(*entry.shared, heartbeat, now);
        }
    }
}

void RequestWorld::handovers()
{
    for (Agent &agent : agents) {
        if (!agent.node.alive || agent.node.frozen)
            continue;
        for (const HandoverRequest &request : pendingHandovers(agent.admission)) {
            const Agent &former = agents[agentNamed(request.formerOwner)];
            if (former.node.alive && !former.node.frozen) {
                handoverAnswered(agent.admission, request.formerOwner,
                                 answerHandover(former.admission, request.message), now, wall());
            }
        }
    }
}

std::vector<std::string> RequestWorld::violations() const
{
    std::vector<std::string> found = seenViolations_;
    for (const auto &[identity, tries] : runs) {
        const bool keyed = identity.find("request-") != 0;
        if (keyed && tries.size() > 1)
            found.push_back("a key ran " + std::to_string(tries.size()) + " times");
        // NotRun covers the try that it answers and earlier ones, but not later ones.
        const auto reported = notRunReported_.find(identity);
        const auto earliest = std::min_element(tries.begin(), tries.end());
        if (reported != notRunReported_.end() && *earliest <= reported->second)
            found.push_back("refused as 'not run' although it ran");
    }
    for (const auto &call : calls) {
        if (!call->result)
            found.push_back("a call did not end");
    }
    return found;
}

} // namespace wisteria::test
