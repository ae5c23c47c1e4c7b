#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "Programs/Gateway/StoreAppender.h"
#include "Programs/Gateway/StoreWatch.h"
#include "Request/Fingerprint.h"

namespace wisteria {

/// What the store's records change.
struct QuarantineEvents
{
    /// A request is quarantined for this time, or no longer if there is none.
    std::function<void(const Fingerprint &, std::optional<milliseconds> left)> changed;
};

/// The quarantined requests in the platform's store. They outlast restarts of the gateways, and
/// reach gateways that a message did not reach. Removing a record there ends the quarantine.
class QuarantineRecords
{
public:
    QuarantineRecords(EventLoop &loop, HttpClientPool &pool, EventLog &log, Metrics &metrics,
                      const Endpoint &store, QuarantineEvents events);
    QuarantineRecords(const QuarantineRecords &) = delete;
    QuarantineRecords &operator=(const QuarantineRecords &) = delete;

    /// Writes or extends the record of a request as soon as the store takes it.
    /// @param crashes Number of crashes that it is quarantined for, for the operator.
    /// @param notBefore Later than now if another gateway probably writes the same record.
    void add(const Fingerprint &request, std::uint32_t crashes, milliseconds quarantineTime,
             TimePoint notBefore);
    /// Removes the record of a request as soon as the store takes it.
    void remove(const Fingerprint &request);

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
    /// Requests that have a record.
    std::set<Fingerprint> recorded_;
    /// Records that are to be written or removed.
    std::map<Fingerprint, Change> unwritten_;
    StoreAppender appender_;
    StoreWatch watch_;
};

} // namespace wisteria
