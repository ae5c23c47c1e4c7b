#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "Connection/RankClient.h"

namespace wisteria {

class PlatformHttp;

/// An engine's rank over HTTP: `POST /ranks/N/orders` with the order as JSON, answered by the
/// rank's status (docs/design/map-agreement.md).
class HttpRankClient : public RankClient
{
public:
    /// @param url Base of the engine, "http://127.0.0.1:9100", without a slash at the end.
    HttpRankClient(std::string url, std::uint32_t rank);
    ~HttpRankClient() override;

    Result<EngineStatus> give(const EngineOrder &order, milliseconds timeout) override;
    void interrupt() override;

private:
    std::string path_;
    std::unique_ptr<PlatformHttp> http_;
};

} // namespace wisteria
