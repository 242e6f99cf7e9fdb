#pragma once

#include "loop/EventLoop.h"
#include "net/HttpClient.h"
#include "process/AgentProtocol.h"

#include <cstdint>
#include <functional>
#include <set>

namespace bergamotweir::process {

struct AgentState;

/**
 * Finds the upstream beside a restarted agent before its next heartbeat: control's state names it, and its health
 * answer shows that it is still running.
 * Guards against an upstream that is unserved for a heartbeat interval after each restart of its agent. Owned by
 * AgentProcess; used on the loop's thread.
 */
class UpstreamRecovery
{
public:
    /** @param found called with each upstream that was found */
    UpstreamRecovery(loop::EventLoop &loop, AgentState &state, std::function<void(const RecoveredUpstream &)> found);

    /** Asks each upstream that control has registered for this agent, once; to be called after each change of state. */
    void update();

private:
    void ask(const wire::UpstreamInfo &registered);

    AgentState &state;
    std::function<void(const RecoveredUpstream &)> found;
    net::HttpClient client;
    /** Ids of the upstreams that were asked. */
    std::set<std::uint32_t> asked;
};

} // namespace bergamotweir::process
