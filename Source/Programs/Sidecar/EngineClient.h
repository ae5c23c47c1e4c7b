#pragma once

#include <functional>
#include <optional>

#include "Connection/TimedCalls.h"
#include "Version/RankReport.h"

namespace wisteria {

/// HTTP client of model engines: reads reports, expert counts and loaded experts, and sends orders.
/// Errors of the callbacks are those of TimedCalls and of the decoders in platform/RankCodec.h.
class EngineClient
{
public:
    explicit EngineClient(HttpClientPool &pool);

    void readReport(const Endpoint &engine, std::function<void(Result<RankReport>)> done);
    /// Reads how often the rank's requests chose each expert since the rank started.
    void readCounts(const Endpoint &engine, std::function<void(Result<ExpertCounts>)> done);
    /// Reads the experts loaded on the rank, by set (the engine API's term for a layer's experts).
    void readExperts(const Endpoint &engine,
                     std::function<void(Result<std::vector<std::vector<std::uint32_t>>>)> done);
    /// Sends an order once. After Timeout or OutcomeUnknown the engine may have executed the order,
    /// or may execute it later.
    void sendOrder(const Endpoint &engine, const RankOrder &order,
                   std::function<void(Result<void>)> done);

    /// Ends the calls whose timeout has passed.
    void checkTimeouts(TimePoint now) { calls_.checkTimeouts(now); }

private:
    TimedCalls calls_;
};

} // namespace wisteria
