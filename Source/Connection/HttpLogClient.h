#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "Connection/LogClient.h"

namespace wisteria {

class PlatformHttp;

/// Client of the log service over HTTP (docs/design/overview.md). Only one thread at a time may
/// call an object, except for interrupt(). A thread that appends while another one waits in read()
/// needs a separate object.
class HttpLogClient : public LogClient
{
public:
    /// @param url Base URL of the service without a trailing slash, "http://127.0.0.1:9000".
    explicit HttpLogClient(std::string url);
    ~HttpLogClient() override;

    Result<Offset> append(const std::string &stream, const std::string &data,
                          milliseconds timeout) override;
    Result<LogBatch> read(const std::string &stream, Offset from, milliseconds wait) override;

    void interrupt() override;

    /// Bytes of requests and answers so far, with HTTP headers and without TCP and IP headers.
    std::uint64_t transferredBytes() const;

private:
    std::unique_ptr<PlatformHttp> http_;
};

} // namespace wisteria
