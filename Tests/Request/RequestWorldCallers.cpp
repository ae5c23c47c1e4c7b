#include <algorithm>
#include <cstdio>
#include <utility>

#include "Request/KeyHashing.h"
#include "Request/RequestWorld.h"

namespace wisteria::test {

namespace {

std::string identityOf(const CallerRequest &request)
{
    return request.idempotent ? request.id : request.key;
}

} // namespace

std::string RequestWorld::newKey()
{
    char text[64];
    const auto time = static_cast<unsigned long long>(wall().time_since_epoch().count());
    std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-%012llx", time >> 16, time & 0xffff,
                  static_cast<unsigned long long>(++lastId_));
    return text;
}

CallerRequest RequestWorld::idempotentRequest(const std::string &content)
{
    CallerRequest request;
    request.id = "request-" + std::to_string(++lastId_);
    request.service = serviceName;
    request.organisation = "org";
    request.fingerprint = pairHash(serviceName, content);
    request.callerTry = 1;
    return request;
}

CallerRequest RequestWorld::keyedRequest(const std::string &content)
{
    CallerRequest request = idempotentRequest(content);
    request.idempotent = false;
    request.key = newKey();
    return request;
}

CallerRequest RequestWorld::keyedForLastAgent(const std::string &content)
{
    std::vector<std::string> names;
    for (int i = 0; i < options_.agents; ++i)
        names.push_back(agentName(i));
    CallerRequest request = keyedRequest(content);
    while (rendezvousChoice(request.key, names) != names.back())
        request.key = newKey();
    return request;
}

int RequestWorld::agentNamed(const std::string &name) const
{
    return std::stoi(name.substr(name.find('-') + 1));
}

int RequestWorld::ownerOf(const std::string &key) const
{
    std::vector<std::string> names;
    for (int i = 0; i < options_.agents; ++i) {
        const auto &object = config.objects.at({v1::OBJECT_KIND_BACKEND_SERVER, agentName(i)});
        if (!object.object().backend_server().draining())
            names.push_back(agentName(i));
    }
    const auto owner = rendezvousChoice(key, names);
    return owner ? agentNamed(*owner) : -1;
}

std::size_t RequestWorld::submit(int entry, const CallerRequest &request, bool faultsApply,
                                 std::function<void(CallResult)> onResult)
{
    const std::size_t call = calls.size();
    calls.push_back(std::make_unique<Call>());
    calls[call]->entry = entry;
    calls[call]->entryEpoch = entries[entry].node.epoch;
    calls[call]->request = request;
    calls[call]->faultsApply = faultsApply;
    calls[call]->onResult = std::move(onResult);
    if (!entries[entry].node.alive) {
        after(hopDelay, [this, call] {
            finishCall(call, CallResult::ConnectionLost, v1::REASON_CONNECTION_LOST);
        });
        return call;
    }
    send(Step::CallerToEntry, call, nullptr, &entries[entry].node, [this, call] {
        Call &started = *calls[call];
        // A duplicate of a request on the same connection does not start a second request.
        if (started.result || started.startedAt != TimePoint())
            return;
        started.startedAt = now;
        Entry &at = entries[started.entry];
        act(call, startRequest(at.state, *at.shared, started.state, started.request, now));
    });
    return call;
}

void RequestWorld::hangUp(std::size_t call)
{
    Call &left = *calls[call];
    if (left.result)
        return;
    left.result = CallResult::ConnectionLost;
    deliver(entries[left.entry].node, left.entryEpoch, [this, call, &left] {
        cancelStream(call);
        callerLeft(entries[left.entry].state, *entries[left.entry].shared, left.state, now);
    });
    if (left.onResult)
        left.onResult(CallResult::ConnectionLost);
}

void RequestWorld::callWithRetries(const CallerRequest &request, int entry, bool faultsApply,
                                   int triesLeft)
{
    const auto repeat = [=, this](CallResult result) {
        const bool finished = result == CallResult::Answer || result == CallResult::NotRun
            || result == CallResult::AlreadyRun;
        if (finished || triesLeft <= 1)
            return;
        CallerRequest next = request;
        next.id = "request-" + std::to_string(++lastId_);
        ++next.callerTry;
        const int other = (entry + 1) % options_.entries;
        after(repeatAfter, [=, this] { callWithRetries(next, other, faultsApply, triesLeft - 1); });
    };
    const std::size_t call = submit(entry, request, faultsApply, repeat);
    after(callerTimeout, [this, call] { hangUp(call); });
}

void RequestWorld::act(std::size_t call, const EntryAction &action)
{
    if (const auto *attempt = std::get_if<SendAttempt>(&action))
        this->attempt(call, *attempt);
    if (const auto *refusal = std::get_if<Refusal>(&action)) {
        checkDeadline(call);
        cancelStream(call);
        const CallResult result = refusal->end == EndKind::NotRun ? CallResult::NotRun
            : refusal->end == EndKind::OutcomeUnknown             ? CallResult::OutcomeUnknown
                                                                  : CallResult::AlreadyRun;
        send(Step::EntryToCaller, call, &entries[calls[call]->entry].node, nullptr,
             [this, call, result, reason = refusal->reason] { finishCall(call, result, reason); });
    }
}

void RequestWorld::attempt(std::size_t call, const SendAttempt &attempt)
{
    const int agent = agentNamed(attempt.backendServer);
    const StreamId stream = ++lastStream_;
    Call &sender = *calls[call];
    Node &entry = entries[sender.entry].node;
    if (!agents[agent].node.alive) {
        after(hopDelay, [this, call, &sender, &entry, number = attempt.head.attempt()] {
            deliver(entry, sender.entryEpoch, [this, call, &sender, number] {
                if (sender.result || sender.state.attempt != number)
                    return;
                Entry &at = entries[sender.entry];
                act(call, attemptLost(at.state, *at.shared, sender.state, false, now));
            });
        });
        return;
    }
    const v1::RunHead head = attempt.head;
    agents[agent].streams[stream] = {call, head};
    const auto arrived = std::make_shared<bool>(false);
    send(Step::EntryToAgent, call, &entry, &agents[agent].node, [=, this] {
        // A duplicate arrives on a separate stream.
        const bool copy = std::exchange(*arrived, true);
        const StreamId name = copy ? ++lastStream_ : stream;
        if (copy)
            agents[agent].streams[name] = {call, head};
        act(agent, attemptArrived(agents[agent].admission, name, head, now, wall()));
    });
}

void RequestWorld::cancelStream(std::size_t call)
{
    for (int i = 0; i < options_.agents; ++i) {
        for (const auto &[stream, callAndHead] : agents[i].streams) {
            if (callAndHead.first != call)
                continue;
            after(hopDelay, [this, i, stream = stream] {
                deliver(agents[i].node, agents[i].node.epoch, [this, i, stream] {
                    act(i, streamCancelled(agents[i].admission, stream, now));
                });
            });
        }
    }
}

void RequestWorld::checkDeadline(std::size_t call)
{
    const Call &ended = *calls[call];
    const bool late = now > ended.state.deadline + 2 * tickTime;
    if (late && ended.startedAt != TimePoint() && !entries[ended.entry].node.disturbed)
        seenViolations_.push_back("a caller waited past its deadline");
}

void RequestWorld::finishCall(std::size_t call, CallResult result, v1::Reason reason)
{
    Call &ended = *calls[call];
    if (ended.result)
        return;
    ended.result = result;
    ended.reason = reason;
    if (result == CallResult::NotRun)
        notRunReported_[identityOf(ended.request)] =
            std::max(notRunReported_[identityOf(ended.request)], ended.request.callerTry);
    const std::string expected = "answer to " + std::to_string(ended.request.fingerprint);
    if (result == CallResult::Answer && ended.body != expected)
        seenViolations_.push_back("a caller got '" + ended.body + "'");
    if (ended.onResult)
        ended.onResult(result);
}

void RequestWorld::frameArrived(std::size_t call, const v1::AgentFrame &frame)
{
    Call &receiver = *calls[call];
    Entry &entry = entries[receiver.entry];
    const bool mine = belongsTo(entry.state, receiver.state, frame);
    const EntryAction action = applyFrame(entry.state, *entry.shared, receiver.state, frame, now);
    if (mine)
        receiver.body += frame.chunk();
    act(call, action);
    if (!mine || !frame.has_end() || !receiver.state.answering || receiver.result)
        return;
    const bool whole = isAnswerComplete(receiver.state, frame.end());
    checkDeadline(call);
    answerEnded(entry.state, *entry.shared, receiver.state, whole, now);
    send(Step::EntryToCaller, call, &entry.node, nullptr, [this, call, whole] {
        finishCall(call, whole ? CallResult::Answer : CallResult::Cut, v1::REASON_UNSPECIFIED);
    });
}

} // namespace wisteria::test
