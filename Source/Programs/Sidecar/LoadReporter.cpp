#include "Programs/Sidecar/LoadReporter.h"

namespace wisteria {

namespace {

/// A gateway gets no more load reports after this time without a hello from it, which is longer
/// than three of its hello intervals.
constexpr milliseconds gatewayTimeout{2000};

} // namespace

LoadReporter::LoadReporter(DatagramSocket &socket, Endpoint engine)
    : socket_(socket), engine_(engine)
{ }

void LoadReporter::noteHello(const Endpoint &gateway, TimePoint now)
{
    const bool isNew = gateways_.insert_or_assign(gateway, now).second;
    // A new gateway treats this rank as closed until the first load report, but only for a short
    // time; then it sends requests even if the group is closed.
    if (isNew && lastLoad_)
        socket_.send(gateway, encodeMessage(withGateways(*lastLoad_)));
}

void LoadReporter::removeExpired(TimePoint now)
{
    std::erase_if(gateways_,
                  [now](const auto &entry) { return now - entry.second > gatewayTimeout; });
}

void LoadReporter::report(const RankReport &report, TimePoint now)
{
    send({.engine = engine_,
          .running = report.running,
          .waiting = report.waiting,
          .slowdown = report.slowdown,
          .open = report.groupOpen || report.groupSize == 0},
         now);
}

void LoadReporter::reportUnavailable(TimePoint now)
{
    send({.engine = engine_, .open = false, .engineAnswers = false}, now);
}

void LoadReporter::send(const EngineLoad &load, TimePoint now)
{
    lastLoad_ = load;
    const EngineLoad sent = withGateways(load);
    if (!shouldReport(sentLoad_, sent, now))
        return;
    sentLoad_ = {.load = sent, .sentAt = now};
    const std::string bytes = encodeMessage(sent);
    for (const auto &[gateway, receivedAt] : gateways_)
        socket_.send(gateway, bytes);
}

EngineLoad LoadReporter::withGateways(EngineLoad load) const
{
    load.gateways = static_cast<std::uint32_t>(gateways_.size());
    return load;
}

} // namespace wisteria
