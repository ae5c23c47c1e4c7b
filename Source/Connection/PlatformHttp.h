#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "Process/Error.h"
#include "Process/Time.h"

namespace wisteria {

/// Result of one call of a platform service.
struct PlatformAnswer
{
    /// Why no answer was received; empty when one was.
    std::string error;
    bool timedOut = false;
    /// HTTP status; 0 without an answer.
    long status = 0;
    /// The call failed before any byte of the request was sent, so the service did not receive it.
    bool neverSent = false;
    std::string body;
};

/// Blocking HTTP calls of one platform service (libcurl). Only one thread at a time may call get()
/// and post().
class PlatformHttp
{
public:
    /// @param url Base URL of the service without a trailing slash, "http://127.0.0.1:9000".
    explicit PlatformHttp(std::string url);
    ~PlatformHttp();
    PlatformHttp(const PlatformHttp &) = delete;
    PlatformHttp &operator=(const PlatformHttp &) = delete;

    PlatformAnswer get(const std::string &path, milliseconds timeout);

    /// Sends the data once; libcurl doesn't resend it.
    PlatformAnswer post(const std::string &path, const std::string &data, milliseconds timeout);

    /// Makes the current call and all later ones end within a second. Thread-safe.
    void interrupt();

    const std::string &url() const;

    /// Bytes of requests and answers so far, with HTTP headers and without TCP and IP headers.
    std::uint64_t transferredBytes() const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

/// Returns the status as "status 500", or why no answer was received.
std::string describe(const PlatformAnswer &answer);

} // namespace wisteria
