#include "Soak/KeepAliveCaller.h"

#include <chrono>

#include <poll.h>

namespace wisteria::soak {

using namespace gateway_tests;

namespace {

/// The clock of log lines.
milliseconds wallClock()
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

bool KeepAliveCaller::send(const std::string &bytes, const CallPlan &plan)
{
    if (plan.lateBytes == 0)
        return socket_->send(bytes);
    const std::size_t early = bytes.size() - plan.lateBytes;
    const bool sent = socket_->send(bytes.substr(0, early));
    ::poll(nullptr, 0, static_cast<int>(plan.pause.count()));
    return sent && socket_->send(bytes.substr(early));
}

CallResult KeepAliveCaller::call(const CallerRequest &request, const CallPlan &plan)
{
    return callAll({request}, plan).front();
}

std::vector<CallResult> KeepAliveCaller::callAll(const std::vector<CallerRequest> &requests,
                                                 const CallPlan &plan)
{
    const GatewayProcess &gateway = *fleet_.gateways()[gateway_];
    std::vector<CallResult> answers(requests.size());
    const unsigned suspensions = gateway.suspensions();
    const bool newConnection = !socket_;
    if (newConnection) {
        kills_ = gateway.kills();
        socket_ = std::make_unique<CallerSocket>(gateway.callers());
    }
    const milliseconds sentAt = wallClock();
    const milliseconds idle =
        newConnection ? milliseconds(0) : remaining(answeredAt_, monotonicNow());
    std::string bytes;
    for (const CallerRequest &request : requests)
        bytes += request.bytes;
    accepted_ = socket_->connected();
    bool keep = accepted_;
    const bool sent = accepted_ && send(bytes, plan);
    for (std::size_t i = 0; accepted_ && i < requests.size(); ++i) {
        const TimePoint begun = monotonicNow();
        answers[i] = socket_->readAnswer(plan.answerTime);
        const milliseconds waited = remaining(begun, monotonicNow());
        if (sent && answers[i].status == 0)
            noteUnanswered({gateway_, requests[i].id, newConnection, sentAt, idle, waited},
                           waited >= plan.answerTime, suspensions);
        keep = keep && answers[i].whole && answers[i].header("Connection") != "close";
    }
    answeredAt_ = monotonicNow();
    if (!keep)
        socket_.reset();
    return answers;
}

void KeepAliveCaller::noteUnanswered(const UnansweredRequest &request, bool timedOut,
                                     unsigned suspensions)
{
    const GatewayProcess &gateway = *fleet_.gateways()[gateway_];
    if (gateway.killedSince(kills_))
        return;
    if (timedOut && gateway.suspensions() == suspensions)
        fleet_.recorder().noteViolation(request.id + ": no answer on an open connection");
    if (!timedOut)
        fleet_.recorder().noteUnanswered(request);
}

} // namespace wisteria::soak
