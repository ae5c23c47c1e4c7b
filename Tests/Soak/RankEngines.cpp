#include "Soak/RankEngines.h"

#include <poll.h>

namespace wisteria::soak {

using gateway_tests::plainResponse;
using gateway_tests::ScriptedServer;
using gateway_tests::ScriptPeer;
using gateway_tests::SeenRequest;
using Json = nlohmann::json;

namespace {

constexpr std::uint64_t groupEpoch = 1;
constexpr milliseconds passTime{40};
/// Of each hundred orders, how many get no answer.
constexpr int lateOfHundred = 50;
constexpr int lateArmsOfHundred = 90;
constexpr int maxIdleMilliseconds = 4000;
constexpr std::uint64_t passesPerShift = 3;
constexpr std::size_t maxLines = 4000;

RankOrder decodeOrder(const std::string &body)
{
    const Json json = Json::parse(body);
    const std::string operation = json.at("operation");
    RankOrder order{.epoch = json.value("epoch", groupEpoch),
                    .version = json.value("version", std::uint64_t{0}),
                    .pass = json.value("step", std::uint64_t{0})};
    if (operation == "arm")
        order.kind = RankOrderKind::Arm;
    else if (operation == "disarm")
        order.kind = RankOrderKind::Disarm;
    else if (operation == "hold")
        order.kind = RankOrderKind::Hold;
    else if (operation == "go")
        order.kind = RankOrderKind::Release;
    else
        order.map = json.at("map").get<RankMap>();
    return order;
}

std::string textOf(const RankOrder &order)
{
    return std::string(orderName(order.kind)) + " version " + std::to_string(order.version)
        + " pass " + std::to_string(order.pass);
}

} // namespace

RankEngines::RankEngines(std::uint32_t firstIp, std::uint64_t seed)
    : random_(seed), chosen_(rankCount, std::vector<std::uint64_t>(expertCount, 0)),
      nextPassAt_(monotonicNow())
{
    for (std::uint32_t rank = 0; rank < rankCount; ++rank) {
        ranks_[rank].report = {.group = "g",
                               .epoch = groupEpoch,
                               .rank = rank,
                               .groupSize = rankCount,
                               .groupOpen = true};
        for (std::uint32_t expert = rank; expert < expertCount; expert += rankCount)
            ranks_[rank].experts.push_back(expert);
        servers_.push_back(std::make_unique<ScriptedServer>(
            [this, rank](const SeenRequest &request, ScriptPeer &peer) {
                answer(rank, request, peer);
            },
            firstIp + rank));
    }
    passing_ = std::thread([this] { runPasses(); });
}

RankEngines::~RankEngines()
{
    stopping_ = true;
    passing_.join();
    servers_.clear();
}

std::vector<std::string> RankEngines::lines() const
{
    const std::lock_guard lock(mutex_);
    return lines_;
}

void RankEngines::note(const std::string &line)
{
    if (lines_.size() < maxLines)
        lines_.push_back(line);
}

void RankEngines::answer(std::uint32_t rank, const SeenRequest &request, ScriptPeer &peer)
{
    const std::string target = request.target();
    if (target == "/order") {
        takeOrder(rank, request.body, peer);
        return;
    }
    std::string body;
    {
        const std::lock_guard lock(mutex_);
        finishCopies(ranks_[rank], monotonicNow());
        body = (target == "/report" ? report(rank) : counts(rank, target != "/picked")).dump();
    }
    peer.send(plainResponse(200, "", body));
}

void RankEngines::takeOrder(std::uint32_t rank, const std::string &body, ScriptPeer &peer)
{
    const RankOrder order = decodeOrder(body);
    int status = 0;
    {
        const std::lock_guard lock(mutex_);
        const bool decisive =
            order.kind == RankOrderKind::Arm || order.kind == RankOrderKind::Release;
        decisiveOrder_ = decisiveOrder_ || decisive;
        const int late = order.kind == RankOrderKind::Arm ? lateArmsOfHundred : lateOfHundred;
        if (faulty_ && draw(1, 100) <= late) {
            late_.push_back({monotonicNow() + milliseconds(draw(1000, 3000)), rank, order});
            ++lateOrders_;
            note("rank " + std::to_string(rank) + " delays " + textOf(order));
        } else {
            status = execute(rank, order);
        }
    }
    if (status == 0)
        peer.waitForEnd();
    else
        peer.send(plainResponse(status, "", "{}"));
}

int RankEngines::execute(std::uint32_t number, const RankOrder &order)
{
    constexpr int ok = 200;
    constexpr int accepted = 202;
    constexpr int conflict = 409;
    Rank &rank = ranks_[number];
    const TimePoint now = monotonicNow();
    finishCopies(rank, now);
    executeOrder(rank, order, now, [&rank](const std::vector<std::uint32_t> &wanted) {
        const bool same = std::is_permutation(wanted.begin(), wanted.end(), rank.experts.begin(),
                                              rank.experts.end());
        return same ? milliseconds(0) : milliseconds(60);
    });
    note("rank " + std::to_string(number) + " executes " + textOf(order));
    const RankReport &report = rank.report;
    switch (order.kind) {
    case RankOrderKind::Prepare:
        return rank.highest == order.version ? accepted : conflict;
    case RankOrderKind::Arm:
        return isArmed(report, order.version, order.pass) ? ok : conflict;
    case RankOrderKind::Hold:
        return report.heldPass == order.pass ? ok : conflict;
    case RankOrderKind::Disarm:
    case RankOrderKind::Release:
        return ok;
    }
    return conflict;
}

Json RankEngines::report(std::uint32_t rank) const
{
    const RankReport &report = ranks_[rank].report;
    Json json = {
        {"running", 1},
        {"waiting", 0},
        {"pace", 1.0},
        {"size", rankCount},
        {"group",
         {{"name", report.group}, {"epoch", report.epoch}, {"rank", rank}, {"state", "open"}}},
        {"step", report.pass},
        {"map", report.map},
        {"prepared", report.prepared},
        {"held", report.heldPass.value_or(0)}};
    if (report.armed != 0)
        json["armed"] = {{"version", report.armed}, {"step", report.armedPass}};
    return json;
}

Json RankEngines::counts(std::uint32_t rank, bool lists) const
{
    const Rank &own = ranks_[rank];
    Json json = {
        {"step", own.report.pass}, {"epoch", groupEpoch}, {"expert_counts", chosen_[rank]}};
    if (lists)
        json["map"] = {{"version", own.report.map}, {"experts", Json::array({own.experts})}};
    return json;
}

void RankEngines::runPasses()
{
    while (!stopping_) {
        ::poll(nullptr, 0, 2);
        const std::lock_guard lock(mutex_);
        const TimePoint now = monotonicNow();
        std::erase_if(late_, [this, now](const LateOrder &late) {
            if (late.at > now)
                return false;
            execute(late.rank, late.order);
            // Work that comes just then would begin a pass that is held no more.
            if (late.order.kind == RankOrderKind::Release)
                nextPassAt_ = std::min(nextPassAt_, now + milliseconds(draw(0, 60)));
            return true;
        });
        if (now >= nextPassAt_)
            beginPass(now);
    }
}

void RankEngines::beginPass(TimePoint now)
{
    const std::uint64_t pass = ranks_.front().report.pass + 1;
    for (const Rank &rank : ranks_) {
        if (rank.report.heldPass == pass)
            return;
    }
    const bool idle = faulty_ && draw(0, 2) == 0;
    nextPassAt_ = now + passTime + milliseconds(idle ? draw(0, maxIdleMilliseconds) : 0);
    ++passes_;
    std::string maps;
    for (std::uint32_t i = 0; i < rankCount; ++i) {
        Rank &rank = ranks_[i];
        finishCopies(rank, now);
        switches_ += wisteria::beginPass(rank, pass, passesPerShift) && i == 0 ? 1 : 0;
        for (std::uint32_t expert = 0; expert < expertCount; ++expert)
            chosen_[i][expert] += rank.counts[expert];
        maps += " " + std::to_string(rank.report.map);
    }
    note("pass " + std::to_string(pass) + " begins, maps" + maps);
    const bool mixed = std::any_of(ranks_.begin(), ranks_.end(), [this](const Rank &rank) {
        return rank.report.map != ranks_.front().report.map
            || rank.mapInForce != ranks_.front().mapInForce;
    });
    if (mixed && mixedPass_ == 0)
        mixedPass_ = pass;
}

} // namespace wisteria::soak
