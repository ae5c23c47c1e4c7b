#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Connection/TimedCalls.h"
#include "Process/EventLog.h"
#include "Programs/Gateway/StoreAppender.h"
#include "Request/EvidenceGap.h"
#include "Version/GroupMessages.h"
#include "platform/StoreCodec.h"

namespace wisteria {

/// What EvidenceRecords needs of the evidence.
struct EvidenceRecordLinks
{
    /// Returns reports of all that this gateway has found itself and that still counts.
    std::function<std::vector<GroupMessage>(TimePoint)> ownReports;
    /// The same of all that this gateway knows.
    std::function<std::vector<GroupMessage>(TimePoint)> knownReports;
    /// Adds a report of a record.
    /// @param own Whether this gateway found it, before it was restarted.
    std::function<void(const GroupMessage &, bool own)> add;
    /// Called once all records are read.
    std::function<void(const EvidenceRead &)> allRead;
    /// Whether this gateway knows all crashes and it is its turn to write so.
    std::function<bool(WallTime)> renewsKnownUntil;
};

/// Keeps the crashes that this gateway has detected, and the last sends of requests, in the
/// platform's store, and reads those of all gateways when it starts. Without that, a restart of all
/// gateways would let a poison request begin anew. The gateways together also keep the time until
/// which all crashes are known, since crashes in an outage of the store are in no record, and with
/// it those that are known: the one that detected a crash may have ended before it could write.
class EvidenceRecords
{
public:
    /// @param self Name of this gateway's VM: the key of its record.
    EvidenceRecords(HttpClientPool &pool, EventLog &log, const Endpoint &store, std::string self,
                    EvidenceRecordLinks links);
    EvidenceRecords(const EvidenceRecords &) = delete;
    EvidenceRecords &operator=(const EvidenceRecords &) = delete;

    /// Records that what ownReports() returns has changed, so that it is written soon.
    void noteChange() { changed_ = true; }

    /// Checks the timeouts of calls, and reads and writes what is due.
    void checkTimeouts(TimePoint now);

private:
    void read(TimePoint now);
    void finishRead(const Result<HttpResponse> &response, TimePoint now);
    void apply(const platform::KeyedRecord &record);
    void write(TimePoint now);
    void renewKnownUntil(TimePoint now);

    EventLog &log_;
    Endpoint store_;
    std::string self_;
    EvidenceRecordLinks links_;
    TimedCalls calls_;
    StoreAppender appender_;
    StoreAppender knownUntilAppender_;
    /// What has been read so far.
    EvidenceRead readSoFar_;
    /// Key after which the next page of records begins; nothing once all are read.
    std::optional<std::string> readAfter_ = std::string();
    TimePoint nextReadAt_;
    milliseconds readBackoff_;
    bool changed_ = false;
    /// Whether the store has a record of this gateway.
    bool recorded_ = false;
    TimePoint nextCleanupAt_;
};

} // namespace wisteria
