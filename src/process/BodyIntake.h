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

/** Minimum size of a body that is announced to the next agent before it is sent. */
constexpr std::size_t LargeBodyBytes = 16UL * 1024;

/**
 * Admission control of large bodies that other agents announce: a body is refused before it is sent over the link,
 * queued until the link has capacity, or admitted. Owned by AgentProcess, outlives its peers server; used on the loop's
 * thread.
 */
class BodyIntake
{
public:
    /**
     * @param loop outlives this
     * @param localUpstream returns the upstream beside this agent for an id assigned by control, or nullptr
     */
    BodyIntake(loop::EventLoop &loop, AgentState &state, std::function<LocalUpstream *(std::uint32_t)> localUpstream);
    ~BodyIntake();
    BodyIntake(const BodyIntake &) = delete;
    BodyIntake &operator=(const BodyIntake &) = delete;

    /** Decides on a body that another agent announced. @return the refusal; nullopt if it is admitted or queued */
    std::optional<net::HttpAnswer> handleAnnouncedBody(const std::shared_ptr<net::ExpectedBody> &body);

private:
    void handleEnded(agent::BodyId id, bool isComplete);
    void applyDecisions(const agent::BodyDecisions &decisions);
    void scheduleQueueCheck();
    net::HttpAnswer refusal(agent::AttemptOutcome outcome);

    loop::EventLoop &loop;
    AgentState &state;
    std::function<LocalUpstream *(std::uint32_t)> localUpstream;
    agent::BodyQueue queue;
    agent::BodyId lastId = 0;
    std::map<agent::BodyId, std::shared_ptr<net::ExpectedBody>> queuedBodies;
    loop::TimerId timer = 0;
};

} // namespace bergamotweir::process
