#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Connection/StatusListener.h"

namespace wisteria {

/// Path on which metrics are served.
inline constexpr const char *metricsPath = "/metrics";

/// The answer to a scraper: the text for GET of the metrics' path, 404 for anything else.
StatusAnswer answerScraper(const HttpRequest &request, const std::function<std::string()> &text);

/// Serves a process' metrics from a thread of its own.
///
/// For processes without a loop that is theirs alone. The metrics library's own server is not used:
/// it overflows its threads' stacks under the address sanitizer.
class MetricsServer
{
public:
    /// @param text Gives the metrics in Prometheus' text format; called by the server's thread.
    explicit MetricsServer(std::function<std::string()> text);
    ~MetricsServer();
    MetricsServer(const MetricsServer &) = delete;
    MetricsServer &operator=(const MetricsServer &) = delete;

    /// Starts to serve.
    /// @param address An IP number of this VM and a port; port 0 takes a free one.
    /// @return The address with the port in use; BadSettings when it can't be had.
    Result<std::string> listen(const std::string &address);

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
