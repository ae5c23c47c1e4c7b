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
    request.callerAttempt = 1;
    return request;
}

CallerRequest RequestWorld::keyedRequest(const std::string &content)
{
    CallerRequest request = idempotentRequest(content);
    request.idempotent = false;
    request.key = newKey();
    return request;
}

CallerRequest RequestWorld::keyedForLast(const std::string &content)
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

int RequestWorld::homeOf(const std::string &key) const
{
    std::vector<std::string> names;
    for (int i = 0; i < options_.agents; ++i) {
        const auto &object = config.objects.at({v1::OBJECT_KIND_BACKEND_SERVER, agentName(i)});
        if (!object.object().backend_server().draining())
            names.push_back(agentName(i));
    }
    const auto home = rendezvousChoice(key, names);
    return home ? agentNamed(*home) : -1;
}

std::size_t RequestWorld::submit(int entry, const CallerRequest &request, bool marked,
                                 std::function<void(Told)> whenTold)
{
    const std::size_t call = calls.size();
    calls.push_back(std::make_unique<Call>());
    calls[call]->entry = entry;
    calls[call]->entryEpoch = entries[entry].node.epoch;
    calls[call]->request = request;
    calls[call]->marked = marked;
    calls[call]->whenTold = std::move(whenTold);
    if (!entries[entry].node.alive) {
        after(hop, [this, call] { tell(call, Told::ConnectionLost, v1::REASON_CONNECTION_LOST); });
        return call;
    }
    send(Step::CallerToEntry, call, nullptr, &entries[entry].node, [this, call] {
        Call &started = *calls[call];
        // A second copy of the same bytes would be a second HTTP request on another connection.
        if (started.told || started.startedAt != TimePoint())
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
    if (left.told)
        return;
    left.told = Told::ConnectionLost;
    deliver(entries[left.entry].node, left.entryEpoch, [this, call, &left] {
        cancelStream(call);
        callerLeft(entries[left.entry].state, *entries[left.entry].shared, left.state, now);
    });
    if (left.whenTold)
        left.whenTold(Told::ConnectionLost);
}

void RequestWorld::callUntilTold(const CallerRequest &request, int entry, bool marked,
                                 int triesLeft)
{
    const auto repeat = [=, this](Told told) {
        const bool settledNow =
            told == Told::Answer || told == Told::NotRun || told == Told::AlreadyRun;
        if (settledNow || triesLeft <= 1)
            return;
        CallerRequest next = request;
        next.id = "request-" + std::to_string(++lastId_);
        ++next.callerAttempt;
        const int other = (entry + 1) % options_.entries;
        after(repeatAfter, [=, this] { callUntilTold(next, other, marked, triesLeft - 1); });
    };
    const std::size_t call = submit(entry, request, marked, repeat);
    after(callerPatience, [this, call] { hangUp(call); });
}

void RequestWorld::act(std::size_t call, const EntryAction &action)
{
    if (const auto *attempt = std::get_if<SendAttempt>(&action))
        this->attempt(call, *attempt);
    if (const auto *refusal = std::get_if<Refusal>(&action)) {
        checkDeadline(call);
        cancelStream(call);
        const Told told = refusal->end == EndKind::NotRun ? Told::NotRun
            : refusal->end == EndKind::OutcomeUnknown     ? Told::OutcomeUnknown
                                                          : Told::AlreadyRun;
        send(Step::EntryToCaller, call, &entries[calls[call]->entry].node, nullptr,
             [this, call, told, reason = refusal->reason] { tell(call, told, reason); });
    }
}

void RequestWorld::attempt(std::size_t call, const SendAttempt &attempt)
{
    const int agent = agentNamed(attempt.backendServer);
    const StreamId stream = ++lastStream_;
    Call &sender = *calls[call];
    Node &entry = entries[sender.entry].node;
    if (!agents[agent].node.alive) {
        after(hop, [this, call, &sender, &entry, number = attempt.head.attempt()] {
            deliver(entry, sender.entryEpoch, [this, call, &sender, number] {
                if (sender.told || sender.state.attempt != number)
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
        // A copy arrives on a stream of its own.
        const bool copy = std::exchange(*arrived, true);
        const StreamId name = copy ? ++lastStream_ : stream;
        if (copy)
            agents[agent].streams[name] = {call, head};
        act(agent, runArrived(agents[agent].admission, name, head, now, wall()));
    });
}

void RequestWorld::cancelStream(std::size_t call)
{
    for (int i = 0; i < options_.agents; ++i) {
        for (const auto &[stream, callAndHead] : agents[i].streams) {
            if (callAndHead.first != call)
                continue;
            after(hop, [this, i, stream = stream] {
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
        seenBreaches_.push_back("a caller waited past its deadline");
}

void RequestWorld::tell(std::size_t call, Told told, v1::Reason reason)
{
    Call &ended = *calls[call];
    if (ended.told)
        return;
    ended.told = told;
    ended.reason = reason;
    if (told == Told::NotRun)
        saidNotRun_[identityOf(ended.request)] =
            std::max(saidNotRun_[identityOf(ended.request)], ended.request.callerAttempt);
    const std::string expected = "answer to " + std::to_string(ended.request.fingerprint);
    if (told == Told::Answer && ended.body != expected)
        seenBreaches_.push_back("a caller got '" + ended.body + "'");
    if (ended.whenTold)
        ended.whenTold(told);
}

void RequestWorld::frameArrived(std::size_t call, const v1::AgentFrame &frame)
{
    Call &receiver = *calls[call];
    Entry &entry = entries[receiver.entry];
    const bool mine = belongsTo(entry.state, receiver.state, frame);
    const EntryAction action =
        attemptVerdict(entry.state, *entry.shared, receiver.state, frame, now);
    if (mine)
        receiver.body += frame.chunk();
    act(call, action);
    if (!mine || !frame.has_end() || !receiver.state.answering || receiver.told)
        return;
    const bool whole = answerIsWhole(receiver.state, frame.end());
    checkDeadline(call);
    answerEnded(entry.state, *entry.shared, receiver.state, whole, now);
    send(Step::EntryToCaller, call, &entry.node, nullptr, [this, call, whole] {
        tell(call, whole ? Told::Answer : Told::Cut, v1::REASON_UNSPECIFIED);
    });
}

} // namespace wisteria::test
