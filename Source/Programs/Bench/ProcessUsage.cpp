#include "Programs/Bench/ProcessUsage.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>

#include <unistd.h>

namespace wisteria {

namespace {

// Fields of /proc/PID/stat after the program's name, counted from its state.
constexpr int userTicksField = 11;
constexpr int residentPagesField = 21;

/// The program's name may contain spaces and brackets, so the fields are counted from the last
/// closing bracket.
std::istringstream fieldsAfterName(const std::string &line)
{
    const std::size_t bracket = line.rfind(')');
    return std::istringstream(bracket == std::string::npos ? "" : line.substr(bracket + 1));
}

microseconds fromTicks(std::uint64_t ticks)
{
    static const auto ticksPerSecond = static_cast<std::uint64_t>(sysconf(_SC_CLK_TCK));
    constexpr std::uint64_t microsecondsPerSecond = 1000000;
    return microseconds(ticks * microsecondsPerSecond / ticksPerSecond);
}

} // namespace

Result<ProcessUsage> readProcessUsage(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    if (!std::getline(file, line)) {
        return failure(ErrorKind::NotFound,
                       "no process " + std::to_string(pid)
                           + " is running; give the id of a live one");
    }
    std::istringstream fields = fieldsAfterName(line);
    std::uint64_t ticks = 0;
    std::uint64_t pages = 0;
    std::string field;
    for (int i = 0; fields >> field; ++i) {
        if (i == userTicksField || i == userTicksField + 1)
            ticks += std::stoull(field);
        if (i == residentPagesField)
            pages = std::stoull(field);
    }
    static const auto pageBytes = static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    return ProcessUsage{fromTicks(ticks), pages * pageBytes};
}

Result<void> ProcessWatch::sample()
{
    BOOST_OUTCOME_TRY(usage, readProcessUsage(pid_));
    last_ = usage;
    if (!sampled_)
        first_ = last_;
    sampled_ = true;
    maxResidentBytes_ = std::max(maxResidentBytes_, last_.residentBytes);
    return boost::outcome_v2::success();
}

nlohmann::json ProcessWatch::render(std::uint64_t requests) const
{
    const auto used = static_cast<double>((last_.processorTime - first_.processorTime).count());
    return {
        {"pid", pid_},
        {"processor_us_per_request", requests > 0 ? used / static_cast<double>(requests) : 0.0},
        {"processor_us", used},
        {"resident_bytes",
         {{"first", first_.residentBytes},
          {"max", maxResidentBytes_},
          {"last", last_.residentBytes}}},
    };
}

} // namespace wisteria
