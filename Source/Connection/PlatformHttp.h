#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "Process/Error.h"
#include "Process/Time.h"

namespace wisteria {

/// What came of one call of a platform service.
struct PlatformAnswer
{
    /// Why there is no answer; empty when there is one.
    std::string trouble;
    bool timedOut = false;
    /// HTTP status; 0 without an answer.
    long status = 0;
    /// No byte of the request left, so the service saw nothing of it.
    bool neverSent = false;
    std::string body;
};

/// Blocking HTTP calls of one platform service (libcurl). One thread at a time may call get() and
/// post().
class PlatformHttp
{
public:
    /// @param url Base of the service, "http://127.0.0.1:9000", without a slash at the end.
    explicit PlatformHttp(std::string url);
    ~PlatformHttp();
    PlatformHttp(const PlatformHttp &) = delete;
    PlatformHttp &operator=(const PlatformHttp &) = delete;

    PlatformAnswer get(const std::string &path, milliseconds timeout);

    /// Sends the data once; never silently again.
    PlatformAnswer post(const std::string &path, const std::string &data, milliseconds timeout);

    /// Makes the present and every later call end within a second. Any thread may call it.
    void interrupt();

    const std::string &url() const;

    /// Bytes of requests and answers so far, headers included, without those of TCP and IP.
    std::uint64_t transferredBytes() const;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

/// "status 500", or why there was no answer.
std::string describe(const PlatformAnswer &answer);

} // namespace wisteria
