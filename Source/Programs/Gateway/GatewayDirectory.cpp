#include "Programs/Gateway/GatewayDirectory.h"

#include <algorithm>
#include <utility>

#include "Programs/Gateway/StorePolling.h"

namespace wisteria {

namespace {

/// How long the store may hold a read that finds no change. The list of gateways rarely changes,
/// and each read is charged for.
constexpr seconds directoryReadWait{28};
/// Interval between two reads. Without it each new entry would make every gateway read the list
/// when all of them start at once.
constexpr seconds directoryReadInterval{2};
/// Maximum backoff after failed reads. It is long because the list of gateways rarely changes.
constexpr seconds directoryMaxBackoff{5};

} // namespace

GatewayDirectory::GatewayDirectory(EventLoop &loop, HttpClientPool &pool, EventLog &log,
                                   Metrics &metrics, const Endpoint &store, std::string self,
                                   const Endpoint &address,
                                   std::function<void(const Endpoint &)> introduce)
    : log_(log), self_(std::move(self)), address_(address), introduce_(std::move(introduce)),
      appender_(pool, store, platform::gatewaysTopic),
      watch_(loop, pool, log, metrics, store,
             WatchPlan{"gateways", platform::gatewaysTopic, directoryReadWait,
                       directoryReadInterval, directoryMaxBackoff},
             WatchEvents{.record = [this](const auto &record) { apply(record); },
                         .snapshot = [this](const auto &records) { applyAll(records); },
                         .answered = [](TimePoint) {},
                         .upToDate = [](const CompleteRead &) {}})
{ }

GatewayDirectory::~GatewayDirectory() = default;

bool GatewayDirectory::isListed() const
{
    const auto own = gateways_.find(self_);
    return own != gateways_.end() && own->second.address == address_;
}

std::vector<Endpoint> GatewayDirectory::peers() const
{
    std::vector<Endpoint> peers;
    for (const auto &[name, gateway] : gateways_) {
        if (name != self_)
            peers.push_back(gateway.address);
    }
    return peers;
}

void GatewayDirectory::apply(const platform::KeyedRecord &record)
{
    if (record.value.empty()) {
        gateways_.erase(record.key);
        return;
    }
    const auto address = endpointFromText(record.value);
    if (address.has_error()) {
        log_.warn("gateway.bad_entry",
                  {{"gateway", record.key}, {"reason", address.error().message}});
        gateways_.erase(record.key);
        return;
    }
    put(record.key, address.value());
}

void GatewayDirectory::put(const std::string &name, const Endpoint &address)
{
    PeerGateway &gateway = gateways_[name];
    if (gateway.address == address)
        return;
    gateway = {.address = address};
    log_.info("gateway.entry", {{"gateway", name}, {"address", toText(address)}});
    if (name != self_)
        introduce_(address);
}

void GatewayDirectory::introduceToAll()
{
    for (const Endpoint &peer : peers())
        introduce_(peer);
}

void GatewayDirectory::notePresence(const std::string &name, const Endpoint &address)
{
    if (name != self_)
        put(name, address);
}

void GatewayDirectory::applyAll(const std::vector<platform::KeyedRecord> &records)
{
    std::erase_if(gateways_, [&records](const auto &entry) {
        return std::none_of(records.begin(), records.end(),
                            [&entry](const auto &record) { return record.key == entry.first; });
    });
    for (const platform::KeyedRecord &record : records)
        apply(record);
    snapshotReceived_ = true;
    writeIfMissing(monotonicNow());
}

void GatewayDirectory::checkTimeouts(TimePoint now)
{
    watch_.checkTimeouts(now);
    appender_.checkTimeouts(now);
    writeIfMissing(now);
}

void GatewayDirectory::writeIfMissing(TimePoint now)
{
    if (!snapshotReceived_ || isListed() || !appender_.ready(now))
        return;
    appender_.append(self_, toText(address_), {}, now, [this](const Result<void> &appended) {
        if (appended.has_error())
            log_.warn("gateway.not_listed", {{"reason", appended.error().message}});
        else
            watch_.readNow();
    });
}

} // namespace wisteria
