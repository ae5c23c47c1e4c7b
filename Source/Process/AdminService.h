#pragma once

#include <functional>
#include <memory>

#include "Connection/LogClient.h"
#include "Operator.grpc.pb.h"
#include "Process/AdminMetrics.h"
#include "Process/AdminSettings.h"
#include "Process/ConfigFollower.h"

namespace wisteria {

/// The operators' gRPC service. Calls run on gRPC's threads and read the state of the follower,
/// which the control thread polls.
class AdminService : public v1::Operator::Service
{
public:
    /// Creates a log client for one call, since a client must be used by one thread at a time.
    using LogFactory = std::function<std::unique_ptr<LogClient>()>;

    /// @param settings Name of the admin, its peers and the operators' accounts.
    /// @param follower, metrics Must outlive the service.
    AdminService(AdminSettings settings, ConfigFollower &follower, AdminMetrics &metrics,
                 LogFactory makeLog);
    ~AdminService() override;

    grpc::Status Get(grpc::ServerContext *context, const v1::GetRequest *request,
                     v1::GetReply *reply) override;
    grpc::Status List(grpc::ServerContext *context, const v1::ListRequest *request,
                      v1::ListReply *reply) override;
    grpc::Status DryRun(grpc::ServerContext *context, const v1::ApplyRequest *request,
                        v1::DryRunReply *reply) override;
    grpc::Status Apply(grpc::ServerContext *context, const v1::ApplyRequest *request,
                       v1::ApplyReply *reply) override;
    grpc::Status Outcome(grpc::ServerContext *context, const v1::OutcomeRequest *request,
                         v1::ApplyReply *reply) override;
    grpc::Status History(grpc::ServerContext *context, const v1::HistoryRequest *request,
                         v1::HistoryReply *reply) override;
    grpc::Status Watch(grpc::ServerContext *context, const v1::WatchRequest *request,
                       grpc::ServerWriter<v1::WatchReply> *writer) override;
    grpc::Status Drain(grpc::ServerContext *context, const v1::DrainRequest *request,
                       v1::ApplyReply *reply) override;
    grpc::Status Status(grpc::ServerContext *context, const v1::StatusRequest *request,
                        v1::StatusReply *reply) override;

private:
    class Private;
    std::unique_ptr<Private> private_;
};

} // namespace wisteria
