#include "process/BodyIntake.h"

#include "agent/RequestAction.h"
#include "loop/Log.h"
#include "process/AgentProtocol.h"
#include "process/AgentState.h"
#include "process/LocalUpstream.h"
#include "process/RequestText.h"

#include <algorithm>

namespace bergamotweir::process {

namespace {

constexpr std::chrono::milliseconds QueueCheckInterval{200};

constexpr loop::Log Log("body");

} // namespace

BodyIntake::BodyIntake(loop::EventLoop &loop,
                       AgentState &state,
                       std::function<LocalUpstream *(std::uint32_t)> localUpstream)
    : loop(loop)
    , state(state)
    , localUpstream(std::move(localUpstream))
{
}

BodyIntake::~BodyIntake()
{
    this->loop.cancel(this->timer);
}

std::optional<net::HttpAnswer> BodyIntake::handleAnnouncedBody(const std::shared_ptr<net::ExpectedBody> &body)
{
    const BootTime now = BootClock::now();
    auto read = readForwarded(body->head(), now);
    if (auto *malformed = std::get_if<net::HttpAnswer>(&read)) {
        return std::move(*malformed);
    }
    const ParsedRequest &request = std::get<ParsedRequest>(read);
    const agent::BodyId id = ++this->lastId;
    const LocalUpstream *upstream = this->localUpstream(request.requestedUpstream);
    agent::Admission admission =
        upstream == nullptr ? agent::Admission::NotServing
                            : upstream->previewAdmission({id, request.facts.deadline, request.facts.queuePriority});
    if (admission == agent::Admission::Admitted || admission == agent::Admission::Queued) {
        const BootTime wantedDeadline = std::min(request.facts.queuePriority.targetDeadline, request.facts.deadline);
        const agent::AnnouncedBody announced{id, body->length(), wantedDeadline - upstream->meanServiceTime()};
        admission = agent::requestAdmission(this->queue, announced, now);
    }
    Log.event(loop::LogLevel::Info, "body announced", loop::RoutineBound)
        .with("request", request.requestId)
        .with("bytes", static_cast<std::uint64_t>(body->length()))
        .with("receiving", static_cast<std::uint64_t>(this->queue.receiving.size()))
        .with("waiting", static_cast<std::uint64_t>(this->queue.waiting.size()))
        .with("transfer_ms", agent::transferTime(this->queue, body->length()))
        .with("admission", agent::toText(admission));
    switch (admission) {
    case agent::Admission::Admitted:
        body->proceed();
        break;
    case agent::Admission::Queued:
        this->queuedBodies.emplace(id, body);
        this->scheduleQueueCheck();
        break;
    case agent::Admission::NotServing:
        return this->refusal(agent::AttemptOutcome::NotOwner);
    case agent::Admission::Overloaded:
        return this->refusal(agent::AttemptOutcome::Overloaded);
    case agent::Admission::RateLimited:
        return this->refusal(agent::AttemptOutcome::RateLimited);
    case agent::Admission::OverLimit:
        return this->refusal(agent::AttemptOutcome::OverLimit);
    }
    body->onEnded([this, id](bool isComplete) {
        this->handleEnded(id, isComplete);
    });
    return std::nullopt;
}

void BodyIntake::handleEnded(agent::BodyId id, bool isComplete)
{
    this->queuedBodies.erase(id);
    this->applyDecisions(agent::finish(this->queue, id, isComplete, BootClock::now()));
}

/** Arms a timer for the queue: a stalled sender triggers no event that would process the queued bodies. */
void BodyIntake::scheduleQueueCheck()
{
    if (this->timer != 0) {
        return;
    }
    this->timer = this->loop.after(QueueCheckInterval, [this] {
        this->timer = 0;
        this->applyDecisions(agent::processQueue(this->queue, BootClock::now()));
        if (!this->queuedBodies.empty()) {
            this->scheduleQueueCheck();
        }
    });
}

void BodyIntake::applyDecisions(const agent::BodyDecisions &decisions)
{
    for (const agent::BodyId refused : decisions.refused) {
        if (const auto body = this->queuedBodies.extract(refused)) {
            body.mapped()->refuse(this->refusal(agent::AttemptOutcome::Overloaded));
        }
    }
    for (const agent::BodyId admitted : decisions.admitted) {
        if (const auto body = this->queuedBodies.extract(admitted)) {
            body.mapped()->proceed();
        }
    }
}

/** @return the answer to the agent that announced the body; it states that the request did not run */
net::HttpAnswer BodyIntake::refusal(agent::AttemptOutcome outcome)
{
    const int status = outcome == agent::AttemptOutcome::OverLimit ? 429 : 503;
    const agent::RefusalDetails facts{.outcome = outcome, .status = status, .ran = agent::Ran::No, .retryAfter = true};
    net::HttpAnswer answer = this->state.protocol->refuse({facts, &this->state.random});
    answer.headers.push_back({OutcomeHeader, std::string(agent::toText(outcome))});
    return answer;
}

} // namespace bergamotweir::process
