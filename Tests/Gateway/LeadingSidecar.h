#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Gateway/DatagramPeer.h"
#include "Gateway/LoggedGateway.h"
#include "Gateway/ScriptedServer.h"
#include "Version/GroupMessages.h"

namespace wisteria::gateway_tests {

inline constexpr std::size_t megabyte = 1024 * 1024;
/// Address of the first sidecar's VM, and of the VM beside it.
inline constexpr std::uint32_t firstSidecarIp = 0x7F000102;
inline constexpr std::uint32_t firstPeerIp = 0x7F000202;

/// What an engine answers to each read. The usual values are those of rank 0 in a group of two.
struct EngineAnswers
{
    std::string report = R"({"step":9,"map":0,"prepared":0,"size":2,)"
                         R"("group":{"name":"g","epoch":1,"rank":0,"state":"open"}})";
    std::string counts = R"({"step":9,"epoch":1,"expert_counts":[1,2,3,4]})";
    std::string experts = R"({"map":{"version":0,"experts":[[0,2]]}})";
};

/// A report in which one field has another value, as JSON.
std::string reportWith(const std::string &field, const std::string &value);

/// What the VM beside the other rank sends all the time.
CountsReply usualCounts();
RankStatus usualStatusOf(std::uint32_t ip);

/// A sidecar process that leads a group of two. The test acts as the VM beside the other rank.
class LeadingSidecar
{
public:
    /// @param number Sidecars that run at the same time have different ones, from 0 on.
    explicit LeadingSidecar(std::uint32_t number);

    /// Sets what the engine answers, and what the other rank's sidecar sends.
    void setOdd(const EngineAnswers &answers)
    {
        answers_ = std::make_shared<EngineAnswers>(answers);
    }
    void setOddStatus(RankStatus status)
    {
        status.engine.ip = peerIp_;
        oddStatus_ = std::move(status);
    }

    void setOdd(const ExpertProfile &profile) { oddProfile_ = profile; }
    void setOdd(const CountsReply &counts) { oddCounts_ = counts; }
    /// Sets messages that are sent beside the usual ones.
    void setOdd(std::vector<GroupMessage> messages) { oddMessages_ = std::move(messages); }

    /// Sets the bytes that the engine sends to all reads, which may have no end or be no answer.
    void setAnswer(std::function<void(ScriptPeer &)> send)
    {
        answer_ = std::make_shared<std::function<void(ScriptPeer &)>>(std::move(send));
    }

    void endOdd();

    /// Sends what a gateway and the other rank's sidecar send all the time.
    void sendUsual() const;

    bool running() { return sidecar_.running(); }
    std::size_t peakMemory() const { return sidecar_.peakMemory(); }
    /// Number of orders to the engine.
    std::size_t orders() const { return engine_.count("/order"); }

private:
    void answer(const SeenRequest &request, ScriptPeer &peer);

    std::atomic<std::shared_ptr<EngineAnswers>> answers_ = std::make_shared<EngineAnswers>();
    std::atomic<std::shared_ptr<std::function<void(ScriptPeer &)>>> answer_;
    /// The group makes a pass between two reads of the report.
    std::atomic<std::size_t> reportReads_ = 0;
    std::optional<RankStatus> oddStatus_;
    std::optional<ExpertProfile> oddProfile_;
    std::optional<CountsReply> oddCounts_;
    std::vector<GroupMessage> oddMessages_;
    std::uint32_t peerIp_;
    Endpoint address_;
    ScriptedServer engine_;
    LoggedProcess sidecar_;
    DatagramPeer peer_;
};

/// An odd input to a sidecar.
struct OddInput
{
    std::string name;
    std::function<void(LeadingSidecar &)> set;
};

/// Runs each input at a sidecar of its own, at the same time: the input for a while in which the
/// sidecar begins to lead, then usual ones. Checks that each leads on and stays within its memory.
void checkSidecars(const std::vector<OddInput> &inputs);

} // namespace wisteria::gateway_tests
