#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "Connection/HttpClientPool.h"
#include "Connection/TcpConnection.h"
#include "Process/EventLog.h"
#include "Process/EventLoop.h"
#include "Process/Metrics.h"
#include "Request/BackendRegistry.h"

namespace wisteria {

/// Checks whether backend servers that are suspected of silence still work, on connections of their
/// own: the one of a silent request may have failed alone.
///
/// An engine is asked for its report, which takes no slot. Another server only has to accept a
/// connection: a health check would wait for a slot like a request, and a full server would seem to
/// be silent.
class LivenessChecks
{
public:
    /// What the checks need of the gateway; must outlive this object.
    struct Dependencies
    {
        EventLoop &loop;
        HttpClientPool &pool;
        BackendRegistry &registry;
        EventLog &log;
        Metrics &metrics;
    };

    explicit LivenessChecks(const Dependencies &gateway);
    LivenessChecks(const LivenessChecks &) = delete;
    LivenessChecks &operator=(const LivenessChecks &) = delete;

    /// Checks a server, unless a check of it is under way. The result is recorded in the registry.
    /// @param isEngine Whether the server is a model engine.
    void begin(const std::string &backend, bool isEngine, TimePoint now);

    /// Ends checks without an answer in time. Call it regularly.
    void checkTimeouts(TimePoint now);

private:
    struct Check
    {
        Endpoint address;
        std::unique_ptr<HttpCall> report;
        std::unique_ptr<TcpConnection> connection;
        /// Time for which this gateway has listened for the answer.
        milliseconds listened{0};
    };

    /// @param problem Why there was no answer; nothing if there was one.
    void finish(const std::string &backend, const std::optional<std::string> &problem);

    Dependencies gateway_;
    std::map<std::string, Check> checks_;
    TimePoint checkedAt_;
};

} // namespace wisteria
