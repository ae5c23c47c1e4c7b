#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "Programs/Gateway/PoisonGuard.h"
#include "Programs/Gateway/StoreAppender.h"
#include "Programs/Gateway/StoreWatch.h"
#include "Request/Fingerprint.h"

namespace wisteria {

/// What the store's records change.
struct QuarantineEvents
{
    /// A request or part is quarantined, or no longer if there is nothing.
    std::function<void(const Fingerprint &, const std::optional<KeptQuarantine> &)> changed;
};

/// The quarantined requests and prompt parts in the platform's store. They outlast restarts of the
/// gateways, and reach gateways that a message did not reach. Removing a record there ends the
/// quarantine.
class QuarantineRecords
{
public:
    QuarantineRecords(EventLoop &loop, HttpClientPool &pool, EventLog &log, Metrics &metrics,
                      const Endpoint &store, QuarantineEvents events);
    QuarantineRecords(const QuarantineRecords &) = delete;
    QuarantineRecords &operator=(const QuarantineRecords &) = delete;

    /// Writes or extends a record as soon as the store takes it.
    /// @param notBefore Later than now if another gateway probably writes the same record.
    void add(const Fingerprint &suspect, const KeptQuarantine &kept, TimePoint notBefore);
    /// Removes a record as soon as the store takes it.
    void remove(const Fingerprint &suspect);

    /// Checks the timeouts of calls, and writes what the store lacks.
    void checkTimeouts(TimePoint now);

private:
    void apply(const platform::KeyedRecord &record);
    void applyAll(const std::vector<platform::KeyedRecord> &records);

    struct Change
    {
        /// Nothing removes the record.
        std::optional<platform::QuarantineRecord> record;
        TimePoint notBefore;
    };

    void write(const Fingerprint &request, const Change &change, TimePoint now);
    void finishWrite(const Fingerprint &request,
                     const std::optional<platform::QuarantineRecord> &written,
                     const Result<void> &appended);

    EventLog &log_;
    QuarantineEvents events_;
    /// Suspects that have a record.
    std::set<Fingerprint> recorded_;
    /// Records that are to be written or removed.
    std::map<Fingerprint, Change> unwritten_;
    StoreAppender appender_;
    StoreWatch watch_;
};

} // namespace wisteria
