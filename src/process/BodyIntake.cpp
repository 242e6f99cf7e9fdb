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

constexpr std::chrono::milliseconds LookInterval{200};

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

std::optional<net::HttpAnswer> BodyIntake::announced(const std::shared_ptr<net::ExpectedBody> &body)
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
        const BootTime wanted = std::min(request.facts.queuePriority.targetDeadline, request.facts.deadline);
        const agent::AnnouncedBody announced{id, body->length(), wanted - upstream->meanServiceTime()};
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
        this->held.emplace(id, body);
        this->lookAgain();
        break;
    case agent::Admission::NotServing:
        return this->refusal(agent::AttemptOutcome::NotOwner);
    case agent::Admission::Overloaded:
        return this->refusal(agent::AttemptOutcome::Overloaded);
    case agent::Admission::OverLimit:
        return this->refusal(agent::AttemptOutcome::OverLimit);
    }
    body->onEnded([this, id](bool whole) {
        this->ended(id, whole);
    });
    return std::nullopt;
}

void BodyIntake::ended(agent::BodyId id, bool whole)
{
    this->held.erase(id);
    this->carryOut(agent::finish(this->queue, id, whole, BootClock::now()));
}

/** A sender that stalled ends nothing, so that those who wait are looked after by a timer as well. */
void BodyIntake::lookAgain()
{
    if (this->timer != 0) {
        return;
    }
    this->timer = this->loop.after(LookInterval, [this] {
        this->timer = 0;
        this->carryOut(agent::processQueue(this->queue, BootClock::now()));
        if (!this->held.empty()) {
            this->lookAgain();
        }
    });
}

void BodyIntake::carryOut(const agent::BodyDecisions &moves)
{
    for (const agent::BodyId refused : moves.refused) {
        if (const auto body = this->held.extract(refused)) {
            body.mapped()->refuse(this->refusal(agent::AttemptOutcome::Overloaded));
        }
    }
    for (const agent::BodyId admitted : moves.admitted) {
        if (const auto body = this->held.extract(admitted)) {
            body.mapped()->proceed();
        }
    }
}

/** @return the answer to the agent that announced the body: the request surely did not run */
net::HttpAnswer BodyIntake::refusal(agent::AttemptOutcome outcome)
{
    const int status = outcome == agent::AttemptOutcome::OverLimit ? 429 : 503;
    const agent::RefusalDetails facts{.outcome = outcome, .status = status, .ran = agent::Ran::No, .retryAfter = true};
    net::HttpAnswer answer = this->state.protocol->refuse({facts, &this->state.random});
    answer.headers.push_back({OutcomeHeader, std::string(agent::toText(outcome))});
    return answer;
}

} // namespace bergamotweir::process
