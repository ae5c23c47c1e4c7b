#include "Programs/Sidecar/EngineClient.h"

#include <utility>

#include "Version/OrderRetry.h"
#include "platform/RankCodec.h"

namespace wisteria {

namespace {

/// Timeout of a read. An engine answers within a few milliseconds, one in another failure domain
/// within some more.
constexpr milliseconds readTimeout{300};

/// Longest body of an answer: the counts of maxExpertsOfProfile experts. As values it takes up to
/// thirty times its length, and a sidecar's VM has little memory.
constexpr std::size_t maxAnswerBytes = 1048576;

/// Wraps a callback: it gets the decoded answer, or the error of the call or of the decoding.
template <typename Value, typename Decode>
TimedCalls::Done decoded(std::function<void(Result<Value>)> done, Decode decode)
{
    return [done = std::move(done), decode](Result<HttpResponse> response) {
        if (response.has_error())
            done(boost::outcome_v2::failure(response.error()));
        else
            done(decode(response.value()));
    };
}

} // namespace

EngineClient::EngineClient(HttpClientPool &pool) : calls_(pool, maxAnswerBytes) { }

void EngineClient::readReport(const Endpoint &engine, std::function<void(Result<RankReport>)> done)
{
    calls_.start(engine, platform::reportRequest(), readTimeout,
                 decoded<RankReport>(std::move(done), platform::decodeReport), monotonicNow());
}

void EngineClient::readCounts(const Endpoint &engine,
                              std::function<void(Result<ExpertCounts>)> done)
{
    calls_.start(engine, platform::expertCountsRequest(), readTimeout,
                 decoded<ExpertCounts>(std::move(done), platform::decodeExpertCounts),
                 monotonicNow());
}

void EngineClient::readExperts(
    const Endpoint &engine,
    std::function<void(Result<std::vector<std::vector<std::uint32_t>>>)> done)
{
    calls_.start(engine, platform::rankExpertsRequest(), readTimeout,
                 decoded<std::vector<std::vector<std::uint32_t>>>(std::move(done),
                                                                  platform::decodeRankExperts),
                 monotonicNow());
}

void EngineClient::sendOrder(const Endpoint &engine, const RankOrder &order,
                             std::function<void(Result<void>)> done)
{
    calls_.start(engine, platform::orderRequest(order), orderTimeout,
                 decoded<void>(std::move(done), platform::decodeOrderAnswer), monotonicNow());
}

} // namespace wisteria
