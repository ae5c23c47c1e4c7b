#include "Programs/Ctl/CtlCommands.h"

#include <fstream>
#include <functional>
#include <map>
#include <random>
#include <sstream>

#include "Process/AdminOperators.h"
#include "Programs/Ctl/CtlOutput.h"
#include "Version/ConfigFile.h"
#include "Version/ConfigObject.h"

namespace wisteria::ctl {

namespace {

/// Added to the admin's timeout to get the deadline of the call.
constexpr milliseconds callGrace(5000);

/// Options, admin stub, output streams and token of one command.
struct Session
{
    const Options &options;
    v1::Operator::StubInterface &admin;
    std::ostream &out;
    std::ostream &err;
    std::string token;
};

void prepareContext(const Session &session, grpc::ClientContext &context)
{
    context.set_deadline(std::chrono::system_clock::now() + session.options.timeout + callGrace);
    if (!session.token.empty())
        context.AddMetadata("authorization", "Bearer " + session.token);
}

Result<std::string> readText(const std::string &path)
{
    const std::ifstream file(path);
    if (!file)
        return failure(ErrorKind::NotFound, path + ": can't be read; check the path");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Reads a token from a file and removes trailing white space.
/// @return An empty token for an empty path.
Result<std::string> readToken(const std::string &path)
{
    if (path.empty())
        return std::string();
    BOOST_OUTCOME_TRY(text, readText(path));
    text.erase(text.find_last_not_of(" \r\n\t") + 1);
    return text;
}

ExitCode reportUsageError(std::ostream &err, const std::string &message)
{
    err << "wisteriactl: " << message << "\n";
    return ExitUsage;
}

ExitCode reportWrongArguments(const Session &session, const char *what)
{
    return reportUsageError(
        session.err, session.options.command + " needs " + what + "; see 'wisteriactl --help'");
}

/// Whether the admin itself refused the call, which proves that the call had no effect.
bool isRefusal(const grpc::Status &status)
{
    switch (status.error_code()) {
    case grpc::StatusCode::INVALID_ARGUMENT:
    case grpc::StatusCode::FAILED_PRECONDITION:
    case grpc::StatusCode::NOT_FOUND:
    case grpc::StatusCode::UNAUTHENTICATED:
    case grpc::StatusCode::PERMISSION_DENIED:
        return true;
    default:
        return false;
    }
}

ExitCode reportStatus(const Session &session, const grpc::Status &status)
{
    session.err << "wisteriactl: " << status.error_message() << "\n";
    return isRefusal(status) ? ExitRefused : ExitUnreachable;
}

/// Reports a failed call of a change. Guards against this failure: the admin dies after its append,
/// the call fails, and the operator is told that nothing changed. Only an answer of the admin
/// proves that; any other failure is "not yet known".
ExitCode reportChangeStatus(const Session &session, const grpc::Status &status,
                            const std::string &changeId)
{
    if (isRefusal(status)) {
        session.err << "refused: " << status.error_message() << "\n";
        return ExitRefused;
    }
    session.err << "not yet known: the admin gave no answer (" << status.error_message()
                << "); ask with 'wisteriactl outcome " << changeId
                << "', or repeat with --change-id " << changeId << "\n";
    return ExitNotYetKnown;
}

std::string changeIdOf(const Options &options)
{
    if (!options.changeId.empty())
        return options.changeId;
    std::random_device source;
    std::ostringstream id;
    id << "change-" << std::hex << source() << source() << source();
    return id.str();
}

Result<v1::ListReply> list(const Session &session, v1::ObjectKind kind, Offset atVersion,
                           grpc::Status &status)
{
    grpc::ClientContext context;
    prepareContext(session, context);
    v1::ListRequest request;
    request.set_kind(kind);
    request.set_at_version(atVersion);
    v1::ListReply reply;
    status = session.admin.List(&context, request, &reply);
    if (!status.ok())
        return failure(ErrorKind::Unavailable, status.error_message());
    return reply;
}

std::map<ObjectKey, v1::VersionedObject> byKey(const v1::ListReply &reply)
{
    std::map<ObjectKey, v1::VersionedObject> objects;
    for (const v1::VersionedObject &object : reply.objects())
        objects[keyOf(object.object())] = object;
    return objects;
}

ExitCode watchVersion(const Session &session, Offset version)
{
    grpc::ClientContext context;
    prepareContext(session, context);
    v1::WatchRequest request;
    request.set_version(version);
    request.set_timeout_ms(static_cast<std::uint32_t>(session.options.timeout.count()));
    const auto reader = session.admin.Watch(&context, request);
    v1::WatchReply reply;
    std::string printed;
    while (reader->Read(&reply)) {
        const std::string text = jsonText(reply);
        if (text == printed)
            continue;
        printed = text;
        if (session.options.json) {
            session.out << text << "\n";
            continue;
        }
        session.out << "version " << version << " in force on " << reply.in_force() << " of "
                    << reply.processes() << " processes";
        for (const std::string &address : reply.lagging())
            session.out << " " << address;
        session.out << "\n";
    }
    const grpc::Status status = reader->Finish();
    if (!status.ok())
        return reportStatus(session, status);
    return reply.done() ? ExitDone : ExitNotEverywhere;
}

void setChangeMetadata(const Options &options, v1::ChangeRecord &change)
{
    change.set_change_id(changeIdOf(options));
    change.set_who(options.who);
    change.set_why(options.why);
    change.set_confirm_digest(options.confirm);
}

v1::ApplyRequest requestFor(const Session &session, v1::ChangeRecord change)
{
    v1::ApplyRequest request;
    setChangeMetadata(session.options, change);
    *request.mutable_change() = std::move(change);
    request.set_first_attempt(session.options.changeId.empty());
    request.set_timeout_ms(static_cast<std::uint32_t>(session.options.timeout.count()));
    return request;
}

ExitCode finishApply(const Session &session, const v1::ApplyReply &reply)
{
    const ExitCode code = printApply(reply, session.options.json, session.out);
    if (code == ExitDone && session.options.watch)
        return watchVersion(session, reply.version());
    return code;
}

ExitCode applyChange(const Session &session, const v1::ChangeRecord &change)
{
    const v1::ApplyRequest request = requestFor(session, change);
    grpc::ClientContext context;
    prepareContext(session, context);
    v1::ApplyReply reply;
    const grpc::Status status = session.admin.Apply(&context, request, &reply);
    if (!status.ok())
        return reportChangeStatus(session, status, request.change().change_id());
    return finishApply(session, reply);
}

ExitCode dryRunChange(const Session &session, const v1::ChangeRecord &change)
{
    v1::ApplyRequest request = requestFor(session, change);
    if (request.change().why().empty())
        request.mutable_change()->set_why("dry run");
    grpc::ClientContext context;
    prepareContext(session, context);
    v1::DryRunReply reply;
    const grpc::Status status = session.admin.DryRun(&context, request, &reply);
    if (!status.ok())
        return reportStatus(session, status);
    return printDryRun(reply, session.options.json, session.out);
}

/// Computes the change from the configuration in force to the file, and passes it to `action`.
ExitCode withFile(const Session &session,
                  const std::function<ExitCode(const Session &, const v1::ChangeRecord &)> &action)
{
    if (session.options.arguments.size() != 1)
        return reportWrongArguments(session, "one file");
    const std::string &path = session.options.arguments.front();
    const auto text = readText(path);
    if (!text)
        return reportUsageError(session.err, text.error().message);
    const auto file = parseConfigFile(text.value(), path);
    if (!file)
        return reportUsageError(session.err, file.error().message);
    grpc::Status status;
    const auto current = list(session, v1::OBJECT_KIND_UNSPECIFIED, 0, status);
    if (!current)
        return reportStatus(session, status);
    const v1::ChangeRecord change = changeFromFile(file.value(), byKey(current.value()));
    if (change.changes().empty()) {
        session.out << (session.options.json ? "{\"unchanged\":true}" : "nothing to change")
                    << "\n";
        return ExitDone;
    }
    return action(session, change);
}

ExitCode runApply(const Session &session)
{
    return withFile(session, applyChange);
}

ExitCode runDiff(const Session &session)
{
    return withFile(session, dryRunChange);
}

ExitCode runGet(const Session &session)
{
    const auto &arguments = session.options.arguments;
    v1::ObjectKind kind = v1::OBJECT_KIND_UNSPECIFIED;
    if (!arguments.empty()) {
        const auto named = kindFromName(arguments[0]);
        if (!named)
            return reportWrongArguments(session, "a known kind");
        kind = *named;
    }
    grpc::Status status;
    const auto reply = list(session, kind, 0, status);
    if (!reply)
        return reportStatus(session, status);
    std::vector<v1::VersionedObject> objects;
    for (const v1::VersionedObject &object : reply.value().objects()) {
        if (arguments.size() < 2 || keyOf(object.object()).name == arguments[1])
            objects.push_back(object);
    }
    if (session.options.json)
        session.out << jsonText(reply.value()) << "\n";
    else
        session.out << renderConfigFile(reply.value().position(), objects);
    return objects.empty() && arguments.size() > 1 ? ExitRefused : ExitDone;
}

ExitCode runRemove(const Session &session)
{
    const auto &arguments = session.options.arguments;
    const auto kind = arguments.size() == 2 ? kindFromName(arguments[0]) : std::nullopt;
    if (!kind)
        return reportWrongArguments(session, "a kind and a name");
    grpc::Status status;
    const auto current = list(session, *kind, 0, status);
    if (!current)
        return reportStatus(session, status);
    ConfigFile file;
    file.asOf = current.value().position();
    file.removals.push_back({*kind, arguments[1]});
    return applyChange(session, changeFromFile(file, byKey(current.value())));
}

ExitCode setDraining(const Session &session, bool draining)
{
    if (session.options.arguments.size() != 1)
        return reportWrongArguments(session, "the name of one backend server");
    v1::DrainRequest request;
    request.set_backend_server(session.options.arguments.front());
    request.set_draining(draining);
    request.set_first_attempt(session.options.changeId.empty());
    request.set_change_id(changeIdOf(session.options));
    request.set_who(session.options.who);
    request.set_why(session.options.why);
    request.set_confirm_digest(session.options.confirm);
    request.set_timeout_ms(static_cast<std::uint32_t>(session.options.timeout.count()));
    grpc::ClientContext context;
    prepareContext(session, context);
    v1::ApplyReply reply;
    const grpc::Status status = session.admin.Drain(&context, request, &reply);
    if (!status.ok())
        return reportChangeStatus(session, status, request.change_id());
    return finishApply(session, reply);
}

std::optional<Offset> versionArgument(const Session &session)
{
    if (session.options.arguments.size() != 1)
        return std::nullopt;
    const std::string &text = session.options.arguments.front();
    if (text.empty() || text.size() > 18
        || text.find_first_not_of("0123456789") != std::string::npos)
        return std::nullopt;
    return std::stoull(text);
}

ExitCode runRestore(const Session &session)
{
    const auto version = versionArgument(session);
    if (!version || *version == 0)
        return reportWrongArguments(session, "the number of a version");
    grpc::Status status;
    const auto current = list(session, v1::OBJECT_KIND_UNSPECIFIED, 0, status);
    if (!current)
        return reportStatus(session, status);
    const auto target = list(session, v1::OBJECT_KIND_UNSPECIFIED, *version, status);
    if (!target)
        return reportStatus(session, status);
    v1::ChangeRecord change = revertingChange(byKey(target.value()), byKey(current.value()));
    change.set_restores_version(*version);
    change.set_base_position(current.value().position());
    if (change.changes().empty()) {
        session.out << "nothing to change\n";
        return ExitDone;
    }
    return applyChange(session, change);
}

ExitCode runOutcome(const Session &session)
{
    if (session.options.arguments.size() != 1)
        return reportWrongArguments(session, "a change id");
    v1::OutcomeRequest request;
    request.set_change_id(session.options.arguments.front());
    request.set_cancel(session.options.cancel);
    request.set_who(session.options.who);
    grpc::ClientContext context;
    prepareContext(session, context);
    v1::ApplyReply reply;
    const grpc::Status status = session.admin.Outcome(&context, request, &reply);
    if (!status.ok())
        return reportStatus(session, status);
    return printApply(reply, session.options.json, session.out);
}

ExitCode runWatch(const Session &session)
{
    const auto version = versionArgument(session);
    if (version)
        return watchVersion(session, *version);
    if (!session.options.arguments.empty())
        return reportWrongArguments(session, "the number of a version");
    grpc::Status status;
    const auto current = list(session, v1::OBJECT_KIND_UNSPECIFIED, 0, status);
    if (!current)
        return reportStatus(session, status);
    return watchVersion(session, current.value().version());
}

ExitCode runStatus(const Session &session)
{
    grpc::ClientContext context;
    prepareContext(session, context);
    v1::StatusReply reply;
    const grpc::Status status = session.admin.Status(&context, v1::StatusRequest(), &reply);
    if (!status.ok())
        return reportStatus(session, status);
    return printStatus(reply, session.options.json, session.out);
}

ExitCode runHistory(const Session &session)
{
    const auto &arguments = session.options.arguments;
    v1::HistoryRequest request;
    request.set_limit(session.options.limit);
    if (!arguments.empty()) {
        const auto kind = kindFromName(arguments[0]);
        if (!kind)
            return reportWrongArguments(session, "a known kind");
        request.set_kind(*kind);
    }
    if (arguments.size() > 1)
        request.set_name(arguments[1]);
    grpc::ClientContext context;
    prepareContext(session, context);
    v1::HistoryReply reply;
    const grpc::Status status = session.admin.History(&context, request, &reply);
    if (!status.ok())
        return reportStatus(session, status);
    printHistory(reply, session.options.json, session.out);
    return ExitDone;
}

ExitCode checkFile(const Options &options, std::ostream &out, std::ostream &err)
{
    if (options.arguments.size() != 1)
        return reportUsageError(err, "check needs one file; see 'wisteriactl --help'");
    const std::string &path = options.arguments.front();
    const auto text = readText(path);
    if (!text)
        return reportUsageError(err, text.error().message);
    const auto file = parseConfigFile(text.value(), path);
    if (!file)
        return reportUsageError(err, file.error().message);
    const std::vector<std::string> mistakes = checkConfigFile(file.value());
    for (const std::string &mistake : mistakes)
        err << path << ": " << mistake << "\n";
    if (!mistakes.empty())
        return ExitRefused;
    out << path << ": no mistakes found; names of other objects are checked by diff and apply\n";
    return ExitDone;
}

} // namespace

bool runsOffline(const std::string &command)
{
    return command == "check" || command == "completion" || command == "hash-token";
}

ExitCode runOffline(const Options &options, std::ostream &out, std::ostream &err)
{
    if (options.command == "check")
        return checkFile(options, out, err);
    if (options.command == "completion") {
        out << completionScript();
        return ExitDone;
    }
    const auto token = readToken(options.arguments.empty() ? "" : options.arguments.front());
    if (!token || token.value().empty())
        return reportUsageError(err, "hash-token needs a file that holds a token");
    out << sha256Of(token.value()) << "\n";
    return ExitDone;
}

ExitCode runOnline(const Options &options, v1::Operator::StubInterface &admin, std::ostream &out,
                   std::ostream &err)
{
    const auto token = readToken(options.tokenFile);
    if (!token)
        return reportUsageError(err, token.error().message);
    const Session session{options, admin, out, err, token.value()};
    static const std::map<std::string, std::function<ExitCode(const Session &)>> handlers = {
        {"apply", runApply},
        {"diff", runDiff},
        {"drain", [](const Session &it) { return setDraining(it, true); }},
        {"get", runGet},
        {"history", runHistory},
        {"outcome", runOutcome},
        {"remove", runRemove},
        {"restore", runRestore},
        {"status", runStatus},
        {"undrain", [](const Session &it) { return setDraining(it, false); }},
        {"watch", runWatch},
    };
    return handlers.at(options.command)(session);
}

} // namespace wisteria::ctl
