#include "Programs/Gateway/RequestEndLog.h"

namespace wisteria {

void logRequestEnd(GatewayContext &context, const EndedRequest &request)
{
    const RequestEnd &end = request.end;
    LogFields fields = {{"id", request.id},
                        {"status", end.status},
                        {"reason", end.reason},
                        {"route", request.route},
                        {"service", end.service},
                        {"priority", request.priority},
                        {"config", request.configurationVersion},
                        {"tried", request.tried},
                        {"took_s", secondsOf(end.duration)}};
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
