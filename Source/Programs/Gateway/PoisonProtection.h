#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "Connection/DatagramSocket.h"
#include "Programs/Gateway/CrashDetector.h"
#include "Programs/Gateway/EvidenceRecords.h"
#include "Programs/Gateway/GatewayDirectory.h"
#include "Programs/Gateway/PoisonGuard.h"
#include "Programs/Gateway/QuarantineRecords.h"

namespace wisteria {

/// All parts of a gateway that protect backend servers from poison requests, connected with each
/// other, the other gateways and the platform's store.
class PoisonProtection
{
public:
    /// @param changed Called when waiting requests may be sent or have to be refused.
    PoisonProtection(EventLoop &loop, EventLog &log, Metrics &metrics,
                     const BackendRegistry &registry, std::function<void()> changed);
    ~PoisonProtection();
    PoisonProtection(const PoisonProtection &) = delete;
    PoisonProtection &operator=(const PoisonProtection &) = delete;

    CrashDetector &crashes() { return detector_; }
    PoisonGuard &guard() { return guard_; }

    /// Connects the parts to the other gateways and to the store, before the event loop runs.
    void start(DatagramSocket &socket, GatewayDirectory &directory, HttpClientPool &pool,
               const Endpoint &store);

    /// Applies messages of other gateways.
    void receive(const CrashReport &report, TimePoint now);
    void receive(const CompletionReport &report, TimePoint now);
    void receive(const CopyReport &report, TimePoint now);
    void receive(const ClaimMessage &claim, TimePoint now);
    void receive(const EvidenceComplete &message, TimePoint now);
    void receive(const OrganisationIdReport &report) { guard_.receive(report); }
    /// Tells a gateway that has just started of the latest crashes.
    void introduce(const Endpoint &peer, TimePoint now);

    void checkTimeouts(TimePoint now);

private:
    PoisonGuardLinks links();
    void noteCrash(const ServerCrash &crash);
    void send(const Endpoint &to, const GroupMessage &message);
    void sendToAll(const GroupMessage &message);
    void sendToOne(const std::vector<GroupMessage> &messages);
    void addKept(const GroupMessage &report, bool own);
    void noteRecordsRead(const EvidenceRead &read);
    bool renewsKnownUntil(WallTime wall);
    void checkGap(TimePoint now);
    void keepQuarantine(const Fingerprint &suspect, const KeptQuarantine &kept, bool foundHere);

    EventLoop &loop_;
    EventLog &log_;
    Metrics &metrics_;
    std::function<void()> changed_;
    const BackendRegistry &registry_;
    CrashDetector detector_;
    PoisonGuard guard_;
    EvidenceGap gap_;
    /// When the other gateways were last asked what they know.
    TimePoint askedAt_;
    /// The interval in which this gateway last wrote that it knows all crashes.
    std::int64_t renewedInterval_ = 0;
    /// Null until start().
    DatagramSocket *socket_ = nullptr;
    GatewayDirectory *directory_ = nullptr;
    std::unique_ptr<QuarantineRecords> records_;
    std::unique_ptr<EvidenceRecords> evidenceRecords_;
    std::mt19937_64 random_{std::random_device{}()};
};

} // namespace wisteria
