#include "Programs/Ctl/CtlOutput.h"

#include <chrono>
#include <ctime>
#include <iomanip>

#include <google/protobuf/util/json_util.h>

namespace wisteria::ctl {

namespace {

std::string timeText(std::int64_t unixMilliseconds)
{
    const std::time_t unixSeconds = unixMilliseconds / 1000;
    std::tm utc = {};
    gmtime_r(&unixSeconds, &utc);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S UTC", &utc);
    return text;
}

void printProcess(const v1::ProcessStatus &process, std::ostream &out)
{
    out << std::left << std::setw(24) << process.address() << std::setw(20) << process.name()
        << std::setw(8) << process.role() << std::setw(12) << process.state() << std::right
        << std::setw(8) << process.config_version() << std::setw(8) << process.lag();
    if (process.silent_ms() > 0)
        out << "  last heard of " << process.silent_ms() / 1000 << " s ago";
    out << "\n";
}

} // namespace

std::string jsonText(const google::protobuf::Message &message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = true;
    std::string text;
    static_cast<void>(google::protobuf::util::MessageToJsonString(message, &text, options));
    return text;
}

ExitCode printApply(const v1::ApplyReply &reply, bool json, std::ostream &out)
{
    if (json)
        out << jsonText(reply) << "\n";
    switch (reply.outcome()) {
    case v1::APPLY_OUTCOME_ACCEPTED:
        if (!json)
            out << "in force as version " << reply.version() << " (" << reply.change_id() << ")\n";
        return ExitDone;
    case v1::APPLY_OUTCOME_REFUSED:
        if (!json)
            out << "refused: " << reply.reason() << " (" << reply.change_id() << ")\n";
        return ExitRefused;
    default:
        if (!json)
            out << "not yet known: " << reply.reason() << " (" << reply.change_id() << ")\n";
        return ExitNotYetKnown;
    }
}

ExitCode printDryRun(const v1::DryRunReply &reply, bool json, std::ostream &out)
{
    if (json)
        out << jsonText(reply) << "\n";
    const ExitCode code = reply.acceptable() ? ExitDone
        : reply.needs_confirmation()         ? ExitNeedsConfirmation
                                             : ExitRefused;
    if (json)
        return code;
    out << "against version " << reply.version() << ":\n";
    for (const std::string &line : reply.differences())
        out << "  " << line << "\n";
    for (const std::string &effect : reply.effects())
        out << "  ! " << effect << "\n";
    if (code == ExitDone)
        out << "would be accepted\n";
    else if (code == ExitNeedsConfirmation)
        out << "held back until you apply it with --confirm " << reply.digest() << "\n";
    else
        out << "would be refused: " << reply.reason() << "\n";
    return code;
}

ExitCode printStatus(const v1::StatusReply &reply, bool json, std::ostream &out)
{
    bool behind = !reply.log_reachable() || !reply.blocked().empty();
    for (const v1::ProcessStatus &process : reply.processes())
        behind |= process.lag() > 0 || process.state() == "silent";
    const ExitCode code = behind ? ExitNotEverywhere : ExitDone;
    if (json) {
        out << jsonText(reply) << "\n";
        return code;
    }
    out << "configuration version " << reply.version() << ", log "
        << (reply.log_reachable() ? "reachable" : "not reachable: no change can be accepted")
        << ", its end at offset " << reply.log_end() << "\n";
    if (!reply.blocked().empty())
        out << "this admin can't follow the log: " << reply.blocked() << "\n";
    out << std::left << std::setw(24) << "ADDRESS" << std::setw(20) << "NAME" << std::setw(8)
        << "ROLE" << std::setw(12) << "STATE" << std::right << std::setw(8) << "VERSION"
        << std::setw(8) << "LAG"
        << "\n";
    for (const v1::ProcessStatus &process : reply.processes())
        printProcess(process, out);
    return code;
}

void printHistory(const v1::HistoryReply &reply, bool json, std::ostream &out)
{
    if (json) {
        out << jsonText(reply) << "\n";
        return;
    }
    for (const v1::HistoryEntry &entry : reply.entries()) {
        const v1::ChangeRecord &change = entry.change();
        out << (entry.accepted() ? "version " : "refused ") << entry.offset() << "  "
            << timeText(change.submitted_at_ms()) << "  " << change.who() << ": " << change.why()
            << "  (" << change.change_id() << ")\n";
        if (change.restores_version() != 0)
            out << "    goes back to version " << change.restores_version() << "\n";
        for (const v1::ObjectChange &object : change.changes())
            out << "    " << object.name() << " from version " << object.base_version() << "\n";
        for (const std::string &line : entry.differences())
            out << "    " << line << "\n";
        if (!entry.accepted())
            out << "    refused: " << entry.reason() << "\n";
    }
    out << "the log holds records from offset " << reply.oldest_offset() << " on\n";
}

} // namespace wisteria::ctl
