#pragma once

#include "base/Result.h"
#include "control/Coordinator.h"
#include "control/State.h"
#include "process/ControlSettings.h"
#include "process/LoopMonitor.h"
#include "process/MembershipManager.h"
#include "process/ReplicaNode.h"
#include "rpc/ControlService.h"

#include <functional>
#include <memory>

namespace bergamotweir::loop {
class EventLoop;
}

namespace bergamotweir::net {
class Exchange;
class HttpServer;
} // namespace bergamotweir::net

namespace bergamotweir::process {

/**
 * One control replica: the replicated state on its consensus node and, while it is the leader, the coordination of
 * agents. Owned by runControl(); runs on the loop's thread only.
 */
class ControlProcess
{
public:
    /**
     * Opens the data folder and listens.
     * @param loop outlives the process object
     * @param settings checked
     * @param failed called when the replica can't continue
     * @return the running replica, or why it can't run
     */
    static Result<std::unique_ptr<ControlProcess>>
    start(loop::EventLoop &loop, const ControlSettings &settings, std::function<void()> failed);

    ~ControlProcess();
    ControlProcess(const ControlProcess &) = delete;
    ControlProcess &operator=(const ControlProcess &) = delete;

    /** Transfers leadership to another replica. @param done called once, when the process may exit */
    void stop(std::function<void()> done);

    /** @return the port for agents and operators */
    std::uint16_t controlPort() const;

private:
    ControlProcess(loop::EventLoop &loop, const ControlSettings &settings);

    Findings open(std::function<void()> failed);
    Findings openNode(std::function<void()> failed);
    Findings openOperatorPort();
    Findings openOrderPort();
    /** Handles an operator's request in the deployment's own protocol. */
    void handleOrder(const std::shared_ptr<net::Exchange> &exchange);
    /** @return IP:port of the leader for operators' requests in that protocol; empty when no leader is known */
    std::string leaderOrderAddress() const;
    rpc::ControlServiceEvents serviceEvents();
    std::string apply(const wire::Version &version, std::string_view bytes);
    void leadershipChanged(bool leader);
    void closeWithRedirect(control::SessionId session);
    void updateControlAddresses();
    /** Performs the coordinator's pending actions once the current event has been handled. */
    void scheduleActions();
    void perform(control::ProposeAction action);
    void perform(const control::SendAction &action);
    void perform(const control::CloseAction &action);
    void perform(const control::ConfirmAction &action);
    void claim(wire::ClaimRequest request, const std::function<void(wire::ClaimReply)> &answer);
    void recordOutcome(wire::ClaimOutcome outcome, const std::function<void(wire::OutcomeReply)> &answer);
    void operate(const wire::OperatorRequest &request, const std::function<void(wire::OperatorReply)> &answer);
    void change(wire::Command command, const std::function<void(wire::OperatorReply)> &answer);
    void changeMember(const wire::ChangeMember &change, const std::function<void(wire::OperatorReply)> &answer);
    void read(const wire::OperatorRequest &request, const std::function<void(wire::OperatorReply)> &answer);
    wire::OperatorReply replyTo(const ProposeResult &result) const;
    wire::OperatorReply notLeader() const;
    void expire();
    void answerHttp(net::Exchange &exchange) const;

    loop::EventLoop &loop;
    const LoopMonitor loopMonitor;
    const ControlSettings settings;
    control::State state;
    control::Coordinator coordinator;
    bool actionsScheduled = false;
    bool stopping = false;
    std::uint64_t tickTimer = 0;
    std::uint64_t expiryTimer = 0;
    /** False after destruction; checked by posted tasks. */
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::unique_ptr<rpc::ControlService> service;
    std::unique_ptr<net::HttpServer> operatorServer;
    std::unique_ptr<net::HttpServer> orderServer;
    std::unique_ptr<ReplicaNode> node;
    /** Set only when the group manages its own membership. */
    std::unique_ptr<MembershipManager> membershipManager;
    std::uint64_t ordersReceived = 0;
};

} // namespace bergamotweir::process
