#include "Programs/Gateway/GatewayMetrics.h"

namespace wisteria {

namespace {

/// Value of the label `end`: the kind of result that the caller got.
const char *classOf(const RequestEnd &request)
{
    constexpr int firstRedirect = 300;
    constexpr int firstServerError = 500;
    constexpr int serviceUnavailable = 503;
    if (request.reason == "the caller left")
        return "abandoned";
    if (request.status == 0)
        return "broken_off";
    if (request.status < firstRedirect)
        return "success";
    if (request.status == serviceUnavailable && request.reason != "answered")
        return "refused";
    return request.status < firstServerError ? "rejected" : "failed";
}

const char *nameOf(RetryCause cause)
{
    switch (cause) {
    case RetryCause::Failed:
        return "failed";
    case RetryCause::Resumed:
        return "resumed";
    case RetryCause::Moved:
        return "moved";
    }
    return "failed";
}

} // namespace

void countRequestEnd(Metrics &metrics, const RequestEnd &request)
{
    metrics.count(
        "wisteria_requests_total", "Callers' requests by how they ended",
        {{"service", request.service}, {"end", classOf(request)}, {"reason", request.reason}});
    const MetricLabels service = {{"service", request.service}};
    metrics.observeSeconds("wisteria_request_duration_seconds",
                           "From the arrival of a request to its end", secondsOf(request.duration),
                           service);
    if (request.firstEvent) {
        metrics.observeSeconds("wisteria_first_event_seconds",
                               "From the arrival of a request to the first event of its stream",
                               secondsOf(*request.firstEvent), service);
    }
    if (request.longestPause) {
        metrics.observeSeconds("wisteria_longest_pause_seconds",
                               "Longest pause between two events of a stream",
                               secondsOf(*request.longestPause), service);
    }
}

void countFirstSend(Metrics &metrics, const std::string &service, milliseconds waited)
{
    metrics.observeSeconds("wisteria_wait_seconds",
                           "From the arrival of a request to its first send", secondsOf(waited),
                           {{"service", service}});
}

void countPriorityStart(Metrics &metrics, const std::string &service, std::uint32_t priority,
                        const PriorityStart &start)
{
    const MetricLabels labels = {{"service", service}, {"priority", std::to_string(priority)}};
    metrics.count("wisteria_priority_starts_total", "First sends by priority", labels);
    if (start.beyondFreeShare) {
        metrics.count("wisteria_starts_beyond_share_total",
                      "First sends beyond the gateway's share of the free slots", labels);
    }
    if (start.starved) {
        metrics.count("wisteria_starvation_total",
                      "First sends at the limit of the most urgent priority, because the own one "
                      "starts too few requests",
                      labels);
    }
}

void setPriorityLimit(Metrics &metrics, const std::string &service, std::uint32_t priority,
                      std::uint32_t limit)
{
    metrics.set("wisteria_priority_limit",
                "Requests at one backend server below which a request of the priority may start",
                limit, {{"service", service}, {"priority", std::to_string(priority)}});
}

void countSendEnd(Metrics &metrics, const std::string &service, const std::string &outcome)
{
    metrics.count("wisteria_sends_total", "Sends to backend servers by how they ended",
                  {{"service", service}, {"outcome", outcome}});
}

void countRetry(Metrics &metrics, const std::string &service, RetryCause cause)
{
    metrics.count("wisteria_retries_total", "Requests sent once more, by cause",
                  {{"service", service}, {"cause", nameOf(cause)}});
}

void countCutRequest(Metrics &metrics)
{
    metrics.count("wisteria_requests_cut_total",
                  "Connections that were cut because all together held too many bytes");
}

void countLivenessCheck(Metrics &metrics, bool answered)
{
    metrics.count("wisteria_liveness_checks_total",
                  "Checks of backend servers that were suspected of silence, by result",
                  {{"result", answered ? "answered" : "silent"}});
}

void countStoreCall(Metrics &metrics, const std::string &what, const std::string &result)
{
    metrics.count("wisteria_store_calls_total", "Calls to the platform's store by result",
                  {{"what", what}, {"result", result}});
}

void countEntryRemoval(Metrics &metrics, const std::string &outcome)
{
    metrics.count("wisteria_entry_removals_total",
                  "Removals of backend servers' entries by what became of the server",
                  {{"outcome", outcome}});
}

void countTurnedAway(Metrics &metrics)
{
    metrics.count("wisteria_connections_turned_away_total",
                  "New connections that were closed unread in an overload", {});
}

void countServerCrash(Metrics &metrics, const std::string &service)
{
    metrics.count("wisteria_server_crashes_total",
                  "Crashes of backend servers that this gateway detected", {{"service", service}});
}

void setPoisonState(Metrics &metrics, const PoisonState &state)
{
    metrics.set("wisteria_quarantined_requests",
                "Requests that are refused because they crash backend servers",
                static_cast<double>(state.quarantined));
    metrics.set("wisteria_restricted_requests",
                "Requests of which three copies ended with their servers and none has completed",
                static_cast<double>(state.restricted));
    metrics.set("wisteria_recent_crashes",
                "Crashes of backend servers that may count against requests",
                static_cast<double>(state.recentCrashes));
}

void setStoreAge(Metrics &metrics, const std::string &what, milliseconds sinceAnswer)
{
    metrics.set("wisteria_store_age_seconds",
                "Since the store last answered about it: the age of what is known",
                secondsOf(sinceAnswer), {{"what", what}});
}

void setSlots(Metrics &metrics, const ServiceSlots &slots)
{
    metrics.set("wisteria_backends", "Backend servers that the gateway knows of",
                static_cast<double>(slots.backends), {{"service", slots.service}});
    metrics.set("wisteria_places_taken", "Requests expected at a service's backend servers now",
                slots.taken, {{"service", slots.service}});
    metrics.set("wisteria_places", "Requests that a service's backend servers work on at a time",
                slots.total, {{"service", slots.service}});
}

void setRetriesLeft(Metrics &metrics, const std::string &service, double retries)
{
    metrics.set("wisteria_retries_left", "Retries that this gateway may still send to a service",
                retries, {{"service", service}});
}

void setEvacuatedDomains(Metrics &metrics, std::size_t domains)
{
    metrics.set("wisteria_evacuated_domains", "Failure domains that get no requests",
                static_cast<double>(domains));
}

void setEvacuationAge(Metrics &metrics, const std::string &domain, milliseconds age)
{
    metrics.set("wisteria_evacuation_age_seconds",
                "Since the gateway learned that a failure domain is evacuated; 0 after the end",
                secondsOf(age), {{"domain", domain}});
}

void setGatewayState(Metrics &metrics, const GatewayState &state)
{
    metrics.set("wisteria_configuration_version", "Version of the configuration in force; 0: none",
                static_cast<double>(state.configurationVersion));
    metrics.set("wisteria_connections", "Callers' connections",
                static_cast<double>(state.connections));
    metrics.set("wisteria_open_requests", "Requests under way",
                static_cast<double>(state.openRequests));
    metrics.set("wisteria_waiting_requests", "Requests that wait for a place",
                static_cast<double>(state.waitingRequests));
    metrics.set("wisteria_held_bytes", "Bytes that are held of requests and answers",
                static_cast<double>(state.heldBytes));
    metrics.set("wisteria_server_limits",
                "Backend servers that name a limit for all gateways together",
                static_cast<double>(state.serverLimits));
    metrics.set("wisteria_cold_servers", "Backend servers that are known to be cold",
                static_cast<double>(state.coldServers));
    metrics.set("wisteria_ready", "1 while the gateway takes callers", state.ready ? 1 : 0);
    metrics.set("wisteria_log_lines_dropped", "Log lines that nobody read in time, since the start",
                static_cast<double>(state.droppedLogLines));
}

} // namespace wisteria
