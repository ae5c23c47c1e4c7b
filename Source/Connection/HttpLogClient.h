#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "Connection/LogClient.h"

namespace wisteria {

class PlatformHttp;

/// The log service over HTTP, as docs/design/overview.md describes it. One thread at a time may
/// call an object; threads that append while another one waits in read() each have their own.
class HttpLogClient : public LogClient
{
public:
    /// @param url Base of the service, "http://127.0.0.1:9000", without a slash at the end.
    explicit HttpLogClient(std::string url);
    ~HttpLogClient() override;

    Result<Offset> append(const std::string &stream, const std::string &data,
                          milliseconds timeout) override;
    Result<LogBatch> read(const std::string &stream, Offset from, milliseconds wait) override;

    void interrupt() override;

    /// Bytes of requests and answers so far, headers included, without those of TCP and IP.
    std::uint64_t transferredBytes() const;

private:
    std::unique_ptr<PlatformHttp> http_;
};

} // namespace wisteria
