#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Connection/HttpClientPool.h"
#include "Process/Error.h"

namespace wisteria {

/// HTTP calls with a timeout each, whose answers are collected whole. Meant for short answers.
class TimedCalls
{
public:
    /// Receives the answer, or Unavailable when the request was not sent, OutcomeUnknown when the
    /// connection failed and the request may have run, or Timeout when no answer came in time and
    /// the request may have run.
    using Done = std::function<void(Result<HttpResponse>)>;

    /// @param maxAnswerBytes Longest body of an answer. A call whose answer is longer fails.
    TimedCalls(HttpClientPool &pool, std::size_t maxAnswerBytes);
    ~TimedCalls();
    TimedCalls(const TimedCalls &) = delete;
    TimedCalls &operator=(const TimedCalls &) = delete;

    void start(const Endpoint &to, std::string request, milliseconds timeout, Done done,
               TimePoint now);

    /// Ends the calls whose timeout has passed.
    void checkTimeouts(TimePoint now);

    /// Number of calls in flight.
    std::size_t open() const { return calls_.size(); }

private:
    struct Call;
    void end(std::uint64_t id, Result<HttpResponse> result);

    HttpClientPool &pool_;
    std::size_t maxAnswerBytes_;
    std::map<std::uint64_t, std::unique_ptr<Call>> calls_;
    std::uint64_t lastId_ = 0;
};

} // namespace wisteria
