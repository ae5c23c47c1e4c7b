#include "Programs/Gateway/BackendSend.h"

#include <utility>

namespace wisteria {

BackendSend::BackendSend(GatewayContext &context, RequestSuspicion &suspicion)
    : context_(context), suspicion_(suspicion)
{ }

void BackendSend::begin(BackendState &backend, Message message, CallEvents events, TimePoint now)
{
    backendId_ = backend.entry.id;
    ++backend.ownInFlight;
    suspicion_.beginRun({message.attemptId, backendId_, message.timeLeft}, now);
    noteSend(context_.registry, backend, now);
    begunAt_ = now;
    call_ = context_.pool.call(backend.entry.address, std::move(message.text), message.use,
                               std::move(events), now);
}

void BackendSend::noteGivenUp(TimePoint now)
{
    if (!call_)
        return;
    if (call_->sent())
        suspicion_.noteGivenUp(backendId_, now);
    else
        suspicion_.noteNotRun(RunEnd::NotDelivered);
}

void BackendSend::release(TimePoint now)
{
    if (backendId_.empty())
        return;
    call_.reset();
    suspicion_.endRun(now);
    if (BackendState *server = backend(); server != nullptr && server->ownInFlight > 0)
        --server->ownInFlight;
    backendId_.clear();
}

BackendState *BackendSend::backend() const
{
    const auto found = context_.registry.backends.find(backendId_);
    return found == context_.registry.backends.end() ? nullptr : &found->second;
}

void BackendSend::pauseReading(bool pause)
{
    if (call_)
        call_->pauseReading(pause);
}

} // namespace wisteria
