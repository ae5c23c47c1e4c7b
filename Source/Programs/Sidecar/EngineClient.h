#pragma once

#include <functional>
#include <optional>

#include "Connection/TimedCalls.h"
#include "Version/RankReport.h"

namespace wisteria {

/// Calls to model engines: reports, counts, lists and orders.
class EngineClient
{
public:
    explicit EngineClient(HttpClientPool &pool);

    void readReport(const Endpoint &engine, std::function<void(Result<RankReport>)> done);
    void readCounts(const Endpoint &engine, std::function<void(Result<ExpertCounts>)> done);
    void readExperts(const Endpoint &engine,
                     std::function<void(Result<std::vector<std::vector<std::uint32_t>>>)> done);
    /// An order without an answer may have been carried out, or may be later.
    void order(const Endpoint &engine, const RankOrder &order,
               std::function<void(Result<void>)> done);

    void checkTimeouts(TimePoint now) { calls_.checkTimeouts(now); }

private:
    TimedCalls calls_;
};

} // namespace wisteria
