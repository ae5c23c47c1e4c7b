#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Connection/StatusListener.h"

namespace wisteria {

/// Path on which metrics are served.
inline constexpr const char *metricsPath = "/metrics";

/// Answers a scraper: the metrics for GET of metricsPath, 404 for any other request.
StatusAnswer answerScraper(const HttpRequest &request, const std::function<std::string()> &text);

/// Serves the metrics of a process from a separate thread.
///
/// For processes without an event loop that can serve them. The metrics library's built-in server
/// is not used: it overflows its threads' stacks under the address sanitizer.
class MetricsServer
{
public:
    /// @param text Returns the metrics in Prometheus text format. Called on the server's thread.
    explicit MetricsServer(std::function<std::string()> text);
    ~MetricsServer();
    MetricsServer(const MetricsServer &) = delete;
    MetricsServer &operator=(const MetricsServer &) = delete;

    /// Starts serving.
    /// @param address An IP address of this VM and a port; for port 0 the kernel chooses a free
    /// one.
    /// @return The bound address with its port; BadSettings when the address is malformed or
    /// listening fails.
    Result<std::string> listen(const std::string &address);

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
