#pragma once

#include <functional>
#include <string>
#include <vector>

#include "Programs/Gateway/GatewayContext.h"
#include "platform/StoreCodec.h"

namespace wisteria {

/// Applies the records of the operator's topic: the configuration and the evacuations of failure
/// domains.
class OperatorRecords
{
public:
    /// @param evacuationsChanged Called after evacuations have begun or ended.
    OperatorRecords(GatewayContext &context, std::function<void()> evacuationsChanged);

    /// Applies one record. An empty value ends an evacuation, but leaves the configuration in
    /// force.
    void apply(const platform::KeyedRecord &record, TimePoint now);
    /// Applies the newest record of each key. Evacuations without a record end.
    void applyAll(const std::vector<platform::KeyedRecord> &records, TimePoint now);
    /// Logs each evacuated domain in which no backend server is known, once for each evacuation.
    /// Does nothing until the list of backend servers has been read.
    void logUnknownDomains();
    void updateMetrics(TimePoint now);

private:
    bool applyRecord(const platform::KeyedRecord &record, TimePoint now);
    void applyConfiguration(const platform::KeyedRecord &record, TimePoint now);
    bool applyEvacuation(const platform::EvacuationRecord &evacuation,
                         const platform::KeyedRecord &record, TimePoint now);
    void noteRestored(const RestoredDomain &restored);
    void noteEvacuationsChanged();

    GatewayContext &context_;
    std::function<void()> evacuationsChanged_;
};

} // namespace wisteria
