#include "Programs/Gateway/CrashLog.h"

#include <algorithm>
#include <set>

#include "Programs/Gateway/GatewayMetrics.h"

namespace wisteria {

void logCrash(EventLog &log, Metrics &metrics, const ServerCrash &crash)
{
    constexpr std::size_t maxListed = 16;
    std::vector<std::string> listed;
    std::vector<std::int64_t> ranMilliseconds;
    std::set<std::string> parts;
    for (std::size_t i = 0; i < std::min(crash.running.size(), maxListed); ++i) {
        const InFlightRequest &running = crash.running[i];
        listed.push_back(toText(running.identity.request));
        ranMilliseconds.push_back(running.sentAt ? remaining(*running.sentAt, crash.at).count()
                                                 : -1);
        for (const Fingerprint &part : running.identity.parts)
            parts.insert(toText(part));
    }
    log.warn("backend.crashed",
             {{"backend", crash.server},
              {"service", crash.service},
              {"servers", crash.servers},
              {"in_flight", crash.running.size()},
              {"fingerprints", listed},
              {"ran_ms", ranMilliseconds},
              {"parts", parts}});
    countServerCrash(metrics, crash.service);
}

} // namespace wisteria
