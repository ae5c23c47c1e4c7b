#include "Programs/Gateway/RequestEndLog.h"

namespace wisteria {

const char *refusalReason(NoBackendReason reason, bool mayWait)
{
    if (reason == NoBackendReason::BackingOff)
        return "all backend servers asked for rest";
    if (reason == NoBackendReason::AtLimit)
        return "the limits of all backend servers are used up";
    if (reason == NoBackendReason::Evacuated)
        return "the domains of all backend servers are evacuated";
    if (reason != NoBackendReason::AllFull)
        return "no backend server takes work";
    return mayWait ? "all places are taken" : "too many wait for a place";
}

void addGraceLeft(LogFields &fields, const std::optional<PlannedStop> &stop, TimePoint now)
{
    if (stop)
        fields["grace_left_s"] = secondsOf(remaining(now, stop->begunAt + stop->gracePeriod));
}

void recordRequestEnd(GatewayContext &context, const RequestEndLine &line)
{
    const RequestEnd &end = line.end;
    LogFields fields = {{"id", line.id},
                        {"status", end.status},
                        {"reason", end.reason},
                        {"route", line.route},
                        {"service", end.service},
                        {"priority", line.priority},
                        {"config", line.configurationVersion},
                        {"tried", line.tried},
                        {"took_s", secondsOf(end.duration)}};
    addGraceLeft(fields, context.plannedStop, line.endedAt);
    if (!line.fingerprint.empty())
        fields["fingerprint"] = line.fingerprint;
    if (end.firstEvent)
        fields["first_event_s"] = secondsOf(*end.firstEvent);
    if (end.longestPause)
        fields["longest_pause_s"] = secondsOf(*end.longestPause);
    constexpr int firstClientError = 400;
    const bool logAsInfo = end.status != 0 && end.status < firstClientError;
    context.log.write(logAsInfo ? LogLevel::Info : LogLevel::Warning, "request.end", fields);
    countRequestEnd(context.metrics, end);
}

} // namespace wisteria
