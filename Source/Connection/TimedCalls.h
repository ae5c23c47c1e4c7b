#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Connection/HttpClientPool.h"
#include "Process/Error.h"

namespace wisteria {

/// Calls whose answers are short and wanted whole, each with a timeout.
class TimedCalls
{
public:
    /// Unavailable when the request has not left; OutcomeUnknown when it may have been carried
    /// out; Timeout likewise, when no answer came in time.
    using Done = std::function<void(Result<HttpResponse>)>;

    explicit TimedCalls(HttpClientPool &pool);
    ~TimedCalls();
    TimedCalls(const TimedCalls &) = delete;
    TimedCalls &operator=(const TimedCalls &) = delete;

    void start(const Endpoint &to, std::string request, milliseconds timeout, Done done,
               TimePoint now);

    /// Ends the calls whose time is over.
    void checkTimeouts(TimePoint now);

    std::size_t open() const { return calls_.size(); }

private:
    struct Call;
    void end(std::uint64_t id, Result<HttpResponse> result);

    HttpClientPool &pool_;
    std::map<std::uint64_t, std::unique_ptr<Call>> calls_;
    std::uint64_t last_ = 0;
};

} // namespace wisteria
