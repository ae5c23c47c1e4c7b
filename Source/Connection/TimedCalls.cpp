#include "Connection/TimedCalls.h"

#include <utility>
#include <vector>

namespace wisteria {

struct TimedCalls::Call
{
    std::unique_ptr<HttpCall> http;
    HttpResponse response;
    TimePoint timeoutAt;
    Done done;
};

TimedCalls::TimedCalls(HttpClientPool &pool, std::size_t maxAnswerBytes)
    : pool_(pool), maxAnswerBytes_(maxAnswerBytes)
{ }

TimedCalls::~TimedCalls() = default;

void TimedCalls::start(const Endpoint &to, std::string request, milliseconds timeout, Done done,
                       TimePoint now)
{
    const std::uint64_t id = ++lastId_;
    auto call = std::make_unique<Call>();
    Call &state = *call;
    state.timeoutAt = now + timeout;
    state.done = std::move(done);
    calls_[id] = std::move(call);
    CallEvents events{
        .accept = {},
        .head = [&state](const HttpResponseHead &head) { state.response.head = head; },
        .body =
            [this, id, &state](std::string_view bytes) {
                if (state.response.body.size() + bytes.size() > maxAnswerBytes_)
                    end(id, failure(ErrorKind::OutcomeUnknown, "the answer is too long"));
                else
                    state.response.body.append(bytes);
            },
        .complete = [this, id, &state] { end(id, std::move(state.response)); },
        .failed =
            [this, id](const CallFailure &failed) {
                const ErrorKind kind =
                    failed.neverSent ? ErrorKind::Unavailable : ErrorKind::OutcomeUnknown;
                end(id, failure(kind, failed.reason));
            }};
    state.http = pool_.call(to, std::move(request), ConnectionUse::Reuse, std::move(events), now);
}

void TimedCalls::checkTimeouts(TimePoint now)
{
    std::vector<std::uint64_t> expired;
    for (const auto &[id, call] : calls_) {
        if (now >= call->timeoutAt)
            expired.push_back(id);
    }
    for (const std::uint64_t id : expired)
        end(id, failure(ErrorKind::Timeout, "no answer in time"));
}

void TimedCalls::end(std::uint64_t id, Result<HttpResponse> result)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    const std::unique_ptr<Call> call = std::move(found->second);
    calls_.erase(found);
    call->done(std::move(result));
}

} // namespace wisteria
