#include "Connection/HttpRankClient.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "Connection/PlatformHttp.h"

namespace wisteria {

namespace {

using Json = nlohmann::json;

constexpr long httpOk = 200;

const char *nameOf(EngineOrderKind kind)
{
    switch (kind) {
    case EngineOrderKind::Query:
        return "query";
    case EngineOrderKind::Stage:
        return "stage";
    case EngineOrderKind::Arm:
        return "arm";
    case EngineOrderKind::Apply:
        return "apply";
    case EngineOrderKind::Release:
        return "release";
    }
    return "query";
}

std::string bodyOf(const EngineOrder &order)
{
    Json body = {{"order", nameOf(order.kind)}, {"fencing_token", order.fence}};
    if (order.kind == EngineOrderKind::Stage) {
        body["map"] = order.map.digest();
        body["content"] = order.map.content();
    }
    if (order.kind == EngineOrderKind::Apply) {
        body["map"] = order.map.digest();
        body["version"] = order.version;
        body["release"] = order.release;
    }
    if (order.kind == EngineOrderKind::Arm || order.kind == EngineOrderKind::Apply)
        body["step"] = order.step;
    return body.dump();
}

/// The engine leaves out "hold_at" when nothing holds it.
EngineStatus statusOf(const Json &answer)
{
    EngineStatus status;
    status.incarnation = answer.at("incarnation").get<std::uint64_t>();
    status.step = answer.at("step").get<std::uint64_t>();
    status.holdAt = answer.value("hold_at", notHeld);
    status.activeVersion = answer.at("version").get<Offset>();
    status.nextVersion = answer.value("next_version", Offset(0));
    status.nextFromStep = answer.value("next_from_step", std::uint64_t(0));
    status.stagedDigest = answer.value("staged", "");
    status.stagingDigest = answer.value("staging", "");
    status.failedDigest = answer.value("failed", "");
    return status;
}

Result<EngineStatus> parseStatus(const std::string &url, const std::string &body)
{
    try {
        return statusOf(Json::parse(body));
    } catch (const Json::exception &error) {
        return failure(ErrorKind::OutcomeUnknown,
                       "the engine at " + url + " answered with an unreadable status ("
                           + error.what() + "); check that its release matches the agent's");
    }
}

} // namespace

HttpRankClient::HttpRankClient(std::string url, std::uint32_t rank)
    : path_("/ranks/" + std::to_string(rank) + "/orders"),
      http_(std::make_unique<PlatformHttp>(std::move(url)))
{ }

HttpRankClient::~HttpRankClient() = default;

Result<EngineStatus> HttpRankClient::give(const EngineOrder &order, milliseconds timeout)
{
    const PlatformAnswer answer = http_->post(path_, bodyOf(order), timeout);
    if (answer.status == httpOk)
        return parseStatus(http_->url(), answer.body);
    const std::string what = "the engine at " + http_->url() + " gave no status ("
        + describe(answer) + "); the agent asks again";
    return failure(answer.neverSent ? ErrorKind::Unavailable : ErrorKind::OutcomeUnknown, what);
}

void HttpRankClient::interrupt()
{
    http_->interrupt();
}

} // namespace wisteria
