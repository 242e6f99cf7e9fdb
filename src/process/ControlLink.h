#pragma once

#include "rpc/ClaimClient.h"
#include "rpc/ControlSession.h"

namespace bergamotweir::process {

struct AgentState;

/** Callbacks of a ControlLink. */
struct ControlLinkEvents {
    /** Routes, table, marks or quarantine changed. */
    std::function<void()> stateChanged;
    std::function<void(const wire::Revoke &)> revoked;
    /** Slices were released; the argument is their number. */
    std::function<void(std::size_t)> released;
    /** The lease was extended. */
    std::function<void()> renewed;
    /** @return the agent's upstreams, which are reported at the start of each session */
    std::function<std::vector<wire::UpstreamInfo>()> upstreams;
};

/**
 * The agent's side of its session with the leader: renewals, state updates, revocations and releases.
 * Owned by AgentProcess; used on the loop's thread.
 */
class ControlLink
{
public:
    ControlLink(loop::EventLoop &loop, AgentState &state, ControlLinkEvents events);
    ~ControlLink();
    ControlLink(const ControlLink &) = delete;
    ControlLink &operator=(const ControlLink &) = delete;

    /** Sends the state of an upstream, or a crash, to control. */
    void sendReport(const wire::UpstreamInfo &upstream);
    void sendReport(const wire::ReportCrash &crash);

    /** Reports revoked slices without work in progress as released. */
    void reportReleased();

    /** Reports the demand of workspaces to control immediately, with a renewal ahead of schedule. */
    void reportDemand();

    bool isOpen() const;
    /** @return time since a message from control was last handled */
    std::chrono::nanoseconds silence() const;
    rpc::ClaimClient &claims();

private:
    wire::Hello hello() const;
    void opened(rpc::SessionId session);
    void handleMessage(rpc::SessionId session, const wire::ControlMessage &message);
    void update(rpc::SessionId session, const wire::StateUpdate &update);
    void renewed(rpc::SessionId session, const wire::Renewed &renewed);
    void renew(bool demandAtOnce = false);

    loop::EventLoop &loop;
    AgentState &state;
    ControlLinkEvents events;
    rpc::ClaimClient claimClient;
    std::unique_ptr<rpc::ControlSession> session;
    loop::TimerId renewTimer = 0;
};

} // namespace bergamotweir::process
