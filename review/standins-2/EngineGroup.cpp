#include "EngineGroup.h"

#include <algorithm>

namespace review {

namespace {

constexpr std::uint64_t epoch = 1;
constexpr int tokensPerPass = 6;
/// Time to copy one expert: expert_mb over link_mbps.
constexpr milliseconds copyTime{111};
constexpr std::size_t spare = 2;

/// How often each expert is chosen in one pass: the first and the fifth, which map 0 gives to one
/// rank, much more than the others.
const std::vector<std::uint64_t> countsOfPass = {12000, 700, 700, 700, 4000, 700, 700, 700};

Json firstMap()
{
    Json rows = Json::array();
    for (std::uint32_t rank = 0; rank < EngineGroup::ranks; ++rank)
        rows.push_back({rank, rank + EngineGroup::ranks});
    return Json::array({rows});
}

std::size_t newExperts(const Json &from, const Json &to)
{
    return static_cast<std::size_t>(std::count_if(to.begin(), to.end(), [&](const Json &expert) {
        return std::find(from.begin(), from.end(), expert) == from.end();
    }));
}

} // namespace

EngineGroup::EngineGroup(const std::vector<std::string> &ips, int port, Record &record,
                         Unanswered unanswered)
    : record_(record), unanswered_(std::move(unanswered))
{
    for (RankState &state : ranks_) {
        state.content = firstMap();
        state.counts.assign(experts, 0);
    }
    for (std::uint32_t rank = 0; rank < ranks; ++rank)
        servers_.push_back(std::make_unique<Server>(
            ips[rank], port, [this, rank](Peer &peer) { serve(rank, peer); }));
    passes_ = std::thread([this] { runPasses(); });
}

EngineGroup::~EngineGroup()
{
    ending_ = true;
    passes_.join();
    servers_.clear();
}

Json EngineGroup::engineSettings()
{
    return {{"slot_count", 12},
            {"kv_capacity_tokens", 494000},
            {"kv_token_bytes", 35136},
            {"link_mbps", 180000.0},
            {"stride", tokensPerPass},
            {"step_ms", 19.5},
            {"per_seq_ms", 0.362},
            {"context_per_k", 0.011},
            {"read_per_s", 74800.0},
            {"pairs_per_m", 0.232},
            {"chunk", 512},
            {"report_lag_ms", 200.0},
            {"sets", 1},
            {"experts", experts},
            {"places", 3},
            {"spare", spare},
            {"expert_mb", 2500.0},
            {"expert_share", 0.85},
            {"form_ms", 600.0}};
}

std::uint64_t EngineGroup::step() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return step_;
}

EngineGroup::RankState EngineGroup::state(std::uint32_t rank) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return ranks_[rank];
}

void EngineGroup::endAnswers()
{
    for (const auto &active : active_)
        active->passesLeft = 0;
}

std::uint64_t EngineGroup::mixedPass() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return mixedPass_;
}

int EngineGroup::carryOut(const std::function<bool(const LateOrder &)> &wanted)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    int count = 0;
    std::erase_if(late_, [&](const LateOrder &late) {
        if (!wanted(late))
            return false;
        const std::chrono::duration<double> age = Clock::now() - late.receivedAt;
        const int status = execute(late.rank, late.order);
        record_.line("rank " + std::to_string(late.rank) + " carries out, "
                     + std::to_string(age.count()) + " s late, " + late.order.dump() + ": "
                     + std::to_string(status));
        ++count;
        return true;
    });
    return count;
}

void EngineGroup::serve(std::uint32_t rank, Peer &peer)
{
    while (!ending_) {
        const auto request = peer.read(milliseconds(60000));
        if (!request)
            return;
        const std::string target = request->target();
        if (target == "/order") {
            if (!takeOrder(rank, peer, *request))
                return;
        } else if (target == "/report") {
            peer.send(report(rank));
        } else if (target.starts_with("/picked")) {
            peer.send(picked(rank, target.find("lists") != std::string::npos));
        } else {
            stream(rank, peer, *request);
        }
    }
}

/// @return False if the order gets no answer, so that its channel returns nothing any more.
bool EngineGroup::takeOrder(std::uint32_t rank, Peer &peer, const Message &request)
{
    const Json order = Json::parse(request.body, nullptr, false);
    int status = 400;
    bool answered = true;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++orders_;
        Json shown = order;
        shown.erase("map");
        answered = !unanswered_(rank, order);
        if (!answered) {
            ++unansweredOrders_;
            late_.push_back({rank, order, Clock::now()});
        } else {
            status = execute(rank, order);
        }
        record_.line("rank " + std::to_string(rank) + " gets " + shown.dump()
                     + (answered ? ": " + std::to_string(status) : ": no answer"));
    }
    if (!answered) {
        peer.closedWithin(milliseconds(60000));
        return false;
    }
    peer.send(response(status, "", {{"Content-Type", "application/json"}}, "{}"));
    return true;
}

int EngineGroup::execute(std::uint32_t rank, const Json &order)
{
    constexpr int ok = 200;
    constexpr int begun = 202;
    constexpr int conflict = 409;
    finishCopies();
    RankState &state = ranks_[rank];
    if (order.value("epoch", epoch) != epoch)
        return conflict;
    const std::string operation = order.value("operation", "");
    const auto version = order.value("version", std::uint64_t{0});
    const auto step = order.value("step", std::uint64_t{0});
    if (operation == "prepare") {
        if (version == state.prepared || version == state.copying)
            return ok;
        const Json &own = order["map"][0][rank];
        const std::size_t copies = newExperts(state.content[0][rank], own);
        if (version <= state.highest || state.armed != 0 || copies > spare)
            return conflict;
        ++state.sequence;
        state.highest = version;
        state.prepared = 0;
        state.preparedContent = order["map"];
        state.copying = version;
        state.copiedAt = Clock::now() + copyTime * copies;
        return begun;
    }
    if (operation == "arm") {
        if (state.armed == version && state.armedStep == step)
            return ok;
        if (state.prepared != version || step <= step_)
            return conflict;
        ++state.sequence;
        state.armed = version;
        state.armedStep = step;
        return ok;
    }
    if (operation == "disarm") {
        if (state.map == version)
            return conflict;
        if (state.armed == version)
            state.armed = 0;
        return ok;
    }
    if (operation == "hold") {
        if (state.held == step)
            return ok;
        if (step <= step_ || state.held != 0)
            return conflict;
        ++state.sequence;
        state.held = step;
        return ok;
    }
    if (operation == "go") {
        if (state.held == step)
            state.held = 0;
        return ok;
    }
    return 400;
}

void EngineGroup::finishCopies()
{
    for (RankState &state : ranks_) {
        if (state.copying == 0 || Clock::now() < state.copiedAt)
            continue;
        state.prepared = state.copying;
        state.copying = 0;
    }
}

std::string EngineGroup::report(std::uint32_t rank)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    finishCopies();
    const RankState &state = ranks_[rank];
    Json body = {{"stage", "prefill_decode"},
                 {"models", {{{"name", "m"}, {"version", 1}, {"adapters", Json::array()}}}},
                 {"busy", state.copying != 0},
                 {"sequence", state.sequence},
                 {"waiting", 0},
                 {"running", state.running},
                 {"kv_used", 1000 * state.running},
                 {"kv_total", 494000},
                 {"handles", 0},
                 {"pace", 1.0},
                 {"size", ranks},
                 {"group", {{"name", "g"}, {"epoch", epoch}, {"rank", rank}, {"state", "open"}}},
                 {"step", step_},
                 {"map", state.map},
                 {"prepared", state.prepared},
                 {"held", state.held}};
    if (state.armed != 0)
        body["armed"] = {{"version", state.armed}, {"step", state.armedStep}};
    return response(200, "OK", {{"Content-Type", "application/json"}}, body.dump());
}

std::string EngineGroup::picked(std::uint32_t rank, bool lists)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const RankState &state = ranks_[rank];
    Json body = {{"step", step_}, {"epoch", epoch}, {"expert_counts", state.counts}};
    if (lists) {
        body["map"] = {{"version", state.map}, {"experts", Json::array({state.content[0][rank]})}};
        body["prepared"] = {
            {"version", state.prepared},
            {"experts",
             state.prepared == 0 ? Json::array() : Json::array({state.preparedContent[0][rank]})}};
    }
    return response(200, "OK", {{"Content-Type", "application/json"}}, body.dump());
}

void EngineGroup::stream(std::uint32_t rank, Peer &peer, const Message &request)
{
    const std::string id = request.field("Wisteriawind-Attempt-Id");
    const std::string expected = request.field("Wisteriawind-Expect-Instance");
    if (!expected.empty() && expected != idOf(rank)) {
        peer.send(response(421, "Misdirected Request", {{"Wisteriawind-Attempt-Id", id}}, ""));
        return;
    }
    const std::string usage = request.field("Wisteriawind-Token-Usage");
    const int tokens = std::atoi(usage.substr(usage.find(',') + 1).c_str());
    const auto active = std::make_shared<Active>();
    active->rank = rank;
    active->passesLeft = std::max(1, (tokens + tokensPerPass - 1) / tokensPerPass);
    record_.line("rank " + std::to_string(rank) + " runs " + id + ", "
                 + std::to_string(active->passesLeft) + " passes");
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        active_.insert(active);
        ++ranks_[rank].running;
    }
    peer.send("HTTP/1.1 200 OK\r\nWisteriawind-Attempt-Id: " + id
              + "\r\nWisteriawind-Response-Seal: s1\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
    int sent = 0;
    bool left = false;
    while (!left && !ending_) {
        left = peer.closedWithin(milliseconds(3));
        int done = 0;
        int remaining = 0;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            done = active->passesDone;
            remaining = active->passesLeft;
        }
        for (; sent < done && !left; ++sent) {
            const std::string event = "id: " + std::to_string(sent + 1) + "\ndata: words\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            peer.send(size + event + "\r\n");
        }
        if (remaining == 0)
            break;
    }
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        active_.erase(active);
        --ranks_[rank].running;
    }
    record_.line("rank " + std::to_string(rank) + " ends " + id + " after " + std::to_string(sent)
                 + " events" + (left ? ", as it was cancelled" : ""));
    if (!left)
        peer.send("0\r\n\r\n");
}

void EngineGroup::runPasses()
{
    while (!ending_) {
        std::this_thread::sleep_for(milliseconds(2));
        const std::lock_guard<std::mutex> lock(mutex_);
        const bool held = std::any_of(ranks_.begin(), ranks_.end(), [this](const RankState &state) {
            return state.held == step_ + 1;
        });
        const bool work = std::any_of(active_.begin(), active_.end(),
                                      [](const auto &active) { return active->passesLeft > 0; });
        if (work && !held && Clock::now() >= nextPassAt_)
            beginPass();
    }
}

void EngineGroup::beginPass()
{
    ++step_;
    nextPassAt_ = Clock::now() + passTime;
    for (RankState &state : ranks_) {
        if (state.armed == 0 || state.armedStep != step_)
            continue;
        state.map = state.armed;
        state.content = state.preparedContent;
        state.armed = 0;
        state.prepared = 0;
    }
    for (const auto &active : active_) {
        if (active->passesLeft == 0)
            continue;
        --active->passesLeft;
        ++active->passesDone;
        for (std::size_t expert = 0; expert < experts; ++expert)
            ranks_[active->rank].counts[expert] += countsOfPass[expert];
    }
    std::string maps;
    bool mixed = false;
    for (const RankState &state : ranks_) {
        maps += " " + std::to_string(state.map);
        mixed = mixed || state.map != ranks_.front().map || state.content != ranks_.front().content;
    }
    record_.line("pass " + std::to_string(step_) + " begins, maps of the ranks:" + maps
                 + (mixed ? ": TWO MAPS" : ""));
    if (mixed && mixedPass_ == 0)
        mixedPass_ = step_;
}

} // namespace review
