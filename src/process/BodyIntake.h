#pragma once

#include "agent/AttemptOutcome.h"
#include "agent/BodyQueue.h"
#include "loop/EventLoop.h"
#include "net/ExpectedBody.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace bergamotweir::process {

struct AgentState;
class LocalUpstream;

/** Bodies of at least so many bytes are announced to the next agent before they are sent. */
constexpr std::size_t LargeBodyBytes = 16UL * 1024;

/**
 * Decides on the large bodies that other agents announce: refused before they cross the link, held until there is room
 * on it, or let in. Owned by AgentProcess, outlives its server for agents; used on the loop's thread.
 */
class BodyIntake
{
public:
    /** @param loop outlives it @param localUpstream finds the upstream beside this agent that control knows by an id,
     * or nullptr */
    BodyIntake(loop::EventLoop &loop, AgentState &state, std::function<LocalUpstream *(std::uint32_t)> localUpstream);
    ~BodyIntake();
    BodyIntake(const BodyIntake &) = delete;
    BodyIntake &operator=(const BodyIntake &) = delete;

    /** Takes a body that another agent announced. @return the refusal; nothing when it may come, now or later */
    std::optional<net::HttpAnswer> announced(const std::shared_ptr<net::ExpectedBody> &body);

private:
    void ended(agent::BodyId id, bool whole);
    void carryOut(const agent::BodyDecisions &moves);
    void lookAgain();
    net::HttpAnswer refusal(agent::AttemptOutcome outcome);

    loop::EventLoop &loop;
    AgentState &state;
    std::function<LocalUpstream *(std::uint32_t)> localUpstream;
    agent::BodyQueue queue;
    agent::BodyId lastId = 0;
    std::map<agent::BodyId, std::shared_ptr<net::ExpectedBody>> held;
    loop::TimerId timer = 0;
};

} // namespace bergamotweir::process
