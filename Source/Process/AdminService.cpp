#include "Process/AdminService.h"

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>
#include <random>

#include "Process/ChangeSubmitter.h"
#include "Process/ConfigArchive.h"
#include "Process/FleetProbe.h"
#include "Process/Logging.h"
#include "Version/ChangeValidation.h"
#include "Version/ConfigCheck.h"
#include "Version/ConfigHistory.h"
#include "Version/ConfigObject.h"

namespace wisteria {

namespace {

constexpr milliseconds defaultTimeout(10000);
constexpr milliseconds maxTimeout(120000);
constexpr milliseconds probeTimeout(1500);
constexpr milliseconds watchInterval(300);
constexpr std::uint32_t defaultHistory = 50;
constexpr std::uint32_t maxHistory = 10000;

milliseconds timeoutOf(std::uint32_t requested)
{
    if (requested == 0)
        return defaultTimeout;
    return std::min(milliseconds(requested), maxTimeout);
}

std::string randomChangeId()
{
    std::random_device source;
    std::string id = "change-";
    for (int i = 0; i < 4; ++i) {
        char part[9];
        std::snprintf(part, sizeof part, "%08x", static_cast<unsigned>(source()));
        id += part;
    }
    return id;
}

std::string tokenOf(const grpc::ServerContext &context)
{
    const std::string prefix = "Bearer ";
    const auto entry = context.client_metadata().find("authorization");
    if (entry == context.client_metadata().end())
        return "";
    const std::string value(entry->second.data(), entry->second.size());
    return value.starts_with(prefix) ? value.substr(prefix.size()) : "";
}

grpc::Status statusOf(const Error &error)
{
    switch (error.kind) {
    case ErrorKind::NotFound:
        return {grpc::StatusCode::NOT_FOUND, error.message};
    case ErrorKind::BadInput:
        return {grpc::StatusCode::INVALID_ARGUMENT, error.message};
    case ErrorKind::Conflict:
        return {grpc::StatusCode::FAILED_PRECONDITION, error.message};
    default:
        return {grpc::StatusCode::UNAVAILABLE, error.message};
    }
}

v1::ApplyOutcome applyOutcomeOf(SubmissionStep step)
{
    if (step == SubmissionStep::Accepted)
        return v1::APPLY_OUTCOME_ACCEPTED;
    return step == SubmissionStep::Refused ? v1::APPLY_OUTCOME_REFUSED
                                           : v1::APPLY_OUTCOME_NOT_YET_KNOWN;
}

ChangeOutcome changeOutcomeOf(SubmissionStep step)
{
    if (step == SubmissionStep::Accepted)
        return ChangeOutcome::Accepted;
    return step == SubmissionStep::Refused ? ChangeOutcome::Refused : ChangeOutcome::NotYetKnown;
}

void fill(v1::ApplyReply &reply, const SubmissionDecision &decision, const std::string &changeId)
{
    reply.set_outcome(applyOutcomeOf(decision.step));
    reply.set_version(decision.version);
    reply.set_reason(decision.reason);
    reply.set_change_id(changeId);
}

bool touches(const v1::ChangeRecord &change, const v1::HistoryRequest &request)
{
    if (request.kind() == v1::OBJECT_KIND_UNSPECIFIED && request.name().empty())
        return true;
    return std::any_of(change.changes().begin(), change.changes().end(), [&](const auto &entry) {
        const bool kindFits =
            request.kind() == v1::OBJECT_KIND_UNSPECIFIED || request.kind() == entry.kind();
        return kindFits && (request.name().empty() || request.name() == entry.name());
    });
}

v1::HistoryEntry entryOf(HistoryItem item)
{
    v1::HistoryEntry entry;
    entry.set_offset(item.offset);
    entry.set_accepted(item.verdict.accepted);
    entry.set_reason(item.verdict.reason);
    for (std::string &line : item.differences)
        entry.add_differences(std::move(line));
    *entry.mutable_change() = std::move(item.change);
    return entry;
}

} // namespace

class AdminService::Private
{
public:
    Private(AdminSettings settings, ConfigFollower &follower, AdminMetrics &metrics,
            LogFactory makeLog)
        : settings_(std::move(settings)), follower_(follower), metrics_(metrics),
          makeLog_(std::move(makeLog))
    { }

    /// Authenticates the caller by its token. An admin without accounts accepts every caller, with
    /// a null account.
    grpc::Status identify(const grpc::ServerContext &context, const OperatorAccount *&account) const
    {
        account = nullptr;
        if (settings_.operators.empty())
            return grpc::Status::OK;
        account = accountOf(settings_.operators, tokenOf(context));
        if (account != nullptr)
            return grpc::Status::OK;
        return {grpc::StatusCode::UNAUTHENTICATED,
                "no operator's account fits the token; give yours with --token-file"};
    }

    grpc::Status checkReady() const
    {
        // A blocked admin would show an outdated state and could not read a submitted change back.
        // An unreachable log is no reason to refuse a call here.
        const std::string blocked = follower_.status().blocked;
        if (!blocked.empty())
            return {grpc::StatusCode::FAILED_PRECONDITION, blocked};
        if (follower_.usable())
            return grpc::Status::OK;
        return {grpc::StatusCode::FAILED_PRECONDITION,
                "this admin has not caught up with the log yet; try again soon"};
    }

    /// Authenticates the caller and checks readiness; used by every call except Status.
    grpc::Status checkCall(const grpc::ServerContext &context,
                           const OperatorAccount *&account) const
    {
        const grpc::Status identified = identify(context, account);
        return identified.ok() ? checkReady() : identified;
    }

    /// Sets the fields that the admin determines, then checks the change's shape and the account's
    /// permission.
    grpc::Status prepare(const OperatorAccount *account, const ConfigState &state,
                         v1::ChangeRecord &change) const
    {
        if (account != nullptr)
            change.set_who(account->name);
        if (change.change_id().empty())
            change.set_change_id(randomChangeId());
        if (change.base_position() == 0)
            change.set_base_position(state.position);
        change.set_rules_version(std::max(state.rulesVersion, settings_.rulesVersion));
        change.set_submitted_at_ms(wallNow().time_since_epoch().count());
        if (const auto shape = checkShape(change); !shape)
            return statusOf(shape.error());
        if (account == nullptr)
            return grpc::Status::OK;
        const auto permitted = checkPermission(*account, state, change);
        if (permitted)
            return grpc::Status::OK;
        logger_->warn("refused: {}", permitted.error().message);
        return {grpc::StatusCode::PERMISSION_DENIED, permitted.error().message};
    }

    void submit(const v1::ChangeRecord &change, bool firstAttempt, std::uint32_t timeout,
                v1::ApplyReply &reply)
    {
        const auto log = makeLog_();
        const SubmissionDecision decision =
            submitChange(change, firstAttempt, *log, follower_, timeoutOf(timeout));
        metrics_.countChange(changeOutcomeOf(decision.step));
        logger_->info("change {} by {}: {} {}", change.change_id(), change.who(),
                      decision.step == SubmissionStep::Accepted
                          ? "in force as version " + std::to_string(decision.version)
                          : "not in force,",
                      decision.reason);
        fill(reply, decision, change.change_id());
    }

    std::vector<std::string> fleetAddresses() const
    {
        std::vector<std::string> addresses = settings_.peers;
        for (const auto &[key, object] : follower_.state()->objects) {
            if (object.object().has_backend_server())
                addresses.push_back(object.object().backend_server().agent_address());
        }
        std::sort(addresses.begin(), addresses.end());
        addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
        return addresses;
    }

    /// Time since this admin last received a heartbeat of a process; nothing if it never has.
    std::optional<milliseconds> timeSinceHeartbeat(const ProbeResult &result, TimePoint now)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (result.heartbeat) {
            lastHeartbeatAt_[result.address] = now;
            return milliseconds(0);
        }
        const auto lastHeartbeat = lastHeartbeatAt_.find(result.address);
        if (lastHeartbeat == lastHeartbeatAt_.end())
            return std::nullopt;
        return std::chrono::duration_cast<milliseconds>(now - lastHeartbeat->second);
    }

    std::vector<ProbeResult> probe() const
    {
        v1::Heartbeat own;
        own.set_process(settings_.name);
        own.set_role("admin");
        own.set_config_version(follower_.state()->version);
        own.set_state("serving");
        return probeFleet(fleetAddresses(), own, probeTimeout);
    }

    const AdminSettings settings_;
    ConfigFollower &follower_;
    AdminMetrics &metrics_;
    const LogFactory makeLog_;
    std::mutex mutex_;
    /// By address; bounded by the addresses that are declared while this admin runs.
    std::map<std::string, TimePoint> lastHeartbeatAt_;
    std::shared_ptr<spdlog::logger> logger_ = loggerFor("admin");
};

AdminService::AdminService(AdminSettings settings, ConfigFollower &follower, AdminMetrics &metrics,
                           LogFactory makeLog)
    : private_(
        std::make_unique<Private>(std::move(settings), follower, metrics, std::move(makeLog)))
{ }

AdminService::~AdminService() = default;

grpc::Status AdminService::Get(grpc::ServerContext *context, const v1::GetRequest *request,
                               v1::GetReply *reply)
{
    const OperatorAccount *account = nullptr;
    if (const auto checked = private_->checkCall(*context, account); !checked.ok())
        return checked;
    const auto state = private_->follower_.state();
    const ObjectKey key{request->kind(), request->name()};
    const auto existing = state->objects.find(key);
    if (existing == state->objects.end()) {
        return {grpc::StatusCode::NOT_FOUND,
                describeKey(key) + " does not exist; 'wisteriactl get' lists all"};
    }
    *reply->mutable_object() = existing->second;
    return grpc::Status::OK;
}

grpc::Status AdminService::List(grpc::ServerContext *context, const v1::ListRequest *request,
                                v1::ListReply *reply)
{
    const OperatorAccount *account = nullptr;
    if (const auto checked = private_->checkCall(*context, account); !checked.ok())
        return checked;
    auto state = private_->follower_.state();
    if (request->at_version() != 0) {
        const auto log = private_->makeLog_();
        auto previous = readStateAt(*log, request->at_version());
        if (!previous)
            return statusOf(previous.error());
        state = std::make_shared<const ConfigState>(std::move(previous).value());
    }
    for (const auto &[key, object] : state->objects) {
        if (request->kind() == v1::OBJECT_KIND_UNSPECIFIED || request->kind() == key.kind)
            *reply->add_objects() = object;
    }
    reply->set_version(state->version);
    reply->set_position(state->position);
    return grpc::Status::OK;
}

grpc::Status AdminService::DryRun(grpc::ServerContext *context, const v1::ApplyRequest *request,
                                  v1::DryRunReply *reply)
{
    const OperatorAccount *account = nullptr;
    if (const auto checked = private_->checkCall(*context, account); !checked.ok())
        return checked;
    const auto state = private_->follower_.state();
    v1::ChangeRecord change = request->change();
    if (const auto prepared = private_->prepare(account, *state, change); !prepared.ok())
        return prepared;
    const ChangeValidation validation = validateChange(*state, state->position + 1, change);
    reply->set_acceptable(validation.acceptable);
    reply->set_reason(validation.reason);
    reply->set_needs_confirmation(validation.needsConfirmation);
    reply->set_digest(validation.effects.digest);
    reply->set_version(state->version);
    for (const std::string &effect : validation.effects.farReaching)
        reply->add_effects(effect);
    for (const std::string &line : differencesOf(*state, change))
        reply->add_differences(line);
    return grpc::Status::OK;
}

grpc::Status AdminService::Apply(grpc::ServerContext *context, const v1::ApplyRequest *request,
                                 v1::ApplyReply *reply)
{
    const OperatorAccount *account = nullptr;
    if (const auto checked = private_->checkCall(*context, account); !checked.ok())
        return checked;
    v1::ChangeRecord change = request->change();
    change.set_cancel(false);
    const bool firstAttempt = request->first_attempt() || change.change_id().empty();
    if (const auto prepared = private_->prepare(account, *private_->follower_.state(), change);
        !prepared.ok())
        return prepared;
    private_->submit(change, firstAttempt, request->timeout_ms(), *reply);
    return grpc::Status::OK;
}

grpc::Status AdminService::Outcome(grpc::ServerContext *context, const v1::OutcomeRequest *request,
                                   v1::ApplyReply *reply)
{
    const OperatorAccount *account = nullptr;
    if (const auto checked = private_->checkCall(*context, account); !checked.ok())
        return checked;
    const auto state = private_->follower_.state();
    const SubmissionDecision decision = wisteria::outcomeOf(request->change_id(), *state);
    if (decision.step != SubmissionStep::NotYetKnown || !request->cancel()) {
        fill(*reply, decision, request->change_id());
        return grpc::Status::OK;
    }
    v1::ChangeRecord cancel;
    cancel.set_change_id(request->change_id());
    cancel.set_who(request->who());
    cancel.set_why("cancelled");
    cancel.set_cancel(true);
    if (const auto prepared = private_->prepare(account, *state, cancel); !prepared.ok())
        return prepared;
    private_->submit(cancel, false, 0, *reply);
    return grpc::Status::OK;
}

grpc::Status AdminService::History(grpc::ServerContext *context, const v1::HistoryRequest *request,
                                   v1::HistoryReply *reply)
{
    const OperatorAccount *account = nullptr;
    if (const auto checked = private_->checkCall(*context, account); !checked.ok())
        return checked;
    const std::size_t limit =
        request->limit() == 0 ? defaultHistory : std::min(request->limit(), maxHistory);
    std::deque<v1::HistoryEntry> newest;
    const auto onChange = [&](HistoryItem item) {
        if (!touches(item.change, *request))
            return;
        newest.push_back(entryOf(std::move(item)));
        if (newest.size() > limit)
            newest.pop_front();
    };
    const auto log = private_->makeLog_();
    const auto oldest = readHistory(*log, onChange);
    if (!oldest)
        return statusOf(oldest.error());
    for (v1::HistoryEntry &entry : newest)
        *reply->add_entries() = std::move(entry);
    reply->set_oldest_offset(oldest.value());
    return grpc::Status::OK;
}

grpc::Status AdminService::Watch(grpc::ServerContext *context, const v1::WatchRequest *request,
                                 grpc::ServerWriter<v1::WatchReply> *writer)
{
    const OperatorAccount *account = nullptr;
    if (const auto checked = private_->checkCall(*context, account); !checked.ok())
        return checked;
    const TimePoint deadline = monotonicNow() + timeoutOf(request->timeout_ms());
    while (!context->IsCancelled()) {
        v1::WatchReply reply;
        for (const ProbeResult &result : private_->probe()) {
            reply.set_processes(reply.processes() + 1);
            if (result.heartbeat && result.heartbeat->config_version() >= request->version())
                reply.set_in_force(reply.in_force() + 1);
            else
                reply.add_lagging(result.address + (result.heartbeat ? "" : " (silent)"));
        }
        reply.set_done(reply.in_force() == reply.processes());
        writer->Write(reply);
        if (reply.done() || monotonicNow() >= deadline)
            break;
        private_->follower_.waitBeyond(private_->follower_.status().position, watchInterval);
    }
    return grpc::Status::OK;
}

grpc::Status AdminService::Drain(grpc::ServerContext *context, const v1::DrainRequest *request,
                                 v1::ApplyReply *reply)
{
    const OperatorAccount *account = nullptr;
    if (const auto checked = private_->checkCall(*context, account); !checked.ok())
        return checked;
    const auto state = private_->follower_.state();
    const ObjectKey key{v1::OBJECT_KIND_BACKEND_SERVER, request->backend_server()};
    const auto existing = state->objects.find(key);
    if (existing == state->objects.end())
        return {grpc::StatusCode::NOT_FOUND, describeKey(key) + " does not exist; check the name"};
    v1::ChangeRecord change;
    change.set_change_id(request->change_id());
    change.set_who(request->who());
    change.set_why(request->why());
    change.set_confirm_digest(request->confirm_digest());
    v1::ObjectChange &entry = *change.add_changes();
    entry.set_kind(key.kind);
    entry.set_name(key.name);
    entry.set_base_version(existing->second.version());
    *entry.mutable_content() = existing->second.object();
    entry.mutable_content()->mutable_backend_server()->set_draining(request->draining());
    if (const auto prepared = private_->prepare(account, *state, change); !prepared.ok())
        return prepared;
    const bool firstAttempt = request->first_attempt() || request->change_id().empty();
    private_->submit(change, firstAttempt, request->timeout_ms(), *reply);
    return grpc::Status::OK;
}

grpc::Status AdminService::Status(grpc::ServerContext *context, const v1::StatusRequest *,
                                  v1::StatusReply *reply)
{
    const OperatorAccount *account = nullptr;
    if (const auto identified = private_->identify(*context, account); !identified.ok())
        return identified;
    const FollowerStatus status = private_->follower_.status();
    reply->set_version(status.version);
    reply->set_log_end(status.logEnd);
    reply->set_log_reachable(status.logReachable);
    reply->set_blocked(status.blocked);
    for (const ProbeResult &result : private_->probe()) {
        v1::ProcessStatus &process = *reply->add_processes();
        process.set_address(result.address);
        process.set_state(result.heartbeat ? result.heartbeat->state() : "silent");
        if (const auto silent = private_->timeSinceHeartbeat(result, monotonicNow()))
            process.set_silent_ms(static_cast<std::uint64_t>(silent->count()));
        if (!result.heartbeat)
            continue;
        process.set_name(result.heartbeat->process());
        process.set_role(result.heartbeat->role());
        process.set_config_version(result.heartbeat->config_version());
        if (status.version > process.config_version())
            process.set_lag(status.version - process.config_version());
    }
    return grpc::Status::OK;
}

} // namespace wisteria
