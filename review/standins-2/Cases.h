#pragma once

#include <string>

#include "StandIns.h"

namespace review {

/// What a script gives to its case.
struct CaseOptions
{
    /// Whether the disruption takes place.
    bool trouble = true;
    /// Folder for settings files and logs.
    std::string folder;
    std::string gateway;
    std::string sidecar;
};

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

/// A case returns `held`, `broken` or `couldNotRun`.
using CaseResult = int;

CaseResult runKeptChannelLimits(const CaseOptions &options, Record &record);
CaseResult runUnframedAnswers(const CaseOptions &options, Record &record);
CaseResult runDeadlyOutage(const CaseOptions &options, Record &record);
CaseResult runDeadlyTenant(const CaseOptions &options, Record &record);
CaseResult runReusedPass(const CaseOptions &options, Record &record);

/// A gateway with its settings file.
class Gateway
{
public:
    Gateway(const CaseOptions &options, const std::string &name, const std::string &ip,
            const std::string &store);
    const Place &place() const { return place_; }
    Process &process() { return *process_; }
    bool ready() const;
    void start();

private:
    CaseOptions options_;
    Place place_;
    std::string store_;
    std::unique_ptr<Process> process_;
};

/// A caller's channel to a gateway and the requests on it.
std::string requestText(const std::string &method, const std::string &path, const std::string &id,
                        const Fields &fields, const std::string &body);

Json routeOf(const std::string &prefix, const std::string &kind, const std::string &service,
             int timeout, int attempts);
Json entryOf(const std::string &service, const std::string &address, const std::string &state,
             int sequence, std::int64_t born);

} // namespace review
