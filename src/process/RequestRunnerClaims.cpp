#include "agent/RequestStep.h"
#include "process/AgentState.h"
#include "process/RequestRunner.h"
#include "process/RunningRequest.h"
#include "rpc/ClaimClient.h"

namespace bergamotweir::process {

namespace {

using agent::EventKind;
using std::chrono::milliseconds;

constexpr milliseconds RecordTimeout{10000};
/** Larger bodies of answers are not stored with a claim. */
constexpr std::size_t MaxRecordedBodyBytes = 16384;

agent::ClaimAnswer claimAnswer(const wire::ClaimReply &reply)
{
    switch (reply.verdict()) {
    case wire::CLAIM_VERDICT_GRANTED:
        return agent::ClaimAnswer::Granted;
    case wire::CLAIM_VERDICT_IN_PROGRESS:
        return agent::ClaimAnswer::InProgress;
    case wire::CLAIM_VERDICT_RECORDED:
        return reply.outcome().body_dropped() ? agent::ClaimAnswer::RecordedWithoutBody : agent::ClaimAnswer::Recorded;
    case wire::CLAIM_VERDICT_CONFLICT:
        return agent::ClaimAnswer::Conflict;
    case wire::CLAIM_VERDICT_UNKNOWN:
        return agent::ClaimAnswer::Unknown;
    case wire::CLAIM_VERDICT_FULL:
        return agent::ClaimAnswer::Full;
    default:
        return agent::ClaimAnswer::Unavailable;
    }
}

} // namespace

void RequestRunner::claim(RunningRequest &request)
{
    wire::ClaimRequest claim;
    claim.set_service(request.state.facts.service);
    claim.set_idempotency_key(request.parsed.idempotencyKey);
    claim.set_body_hash(request.parsed.fingerprint);
    claim.set_agent(this->state.settings.agentName);
    claim.set_attempt(request.parsed.requestId);
    const auto unixTime = std::chrono::system_clock::now().time_since_epoch();
    claim.set_unix_ms(static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(unixTime).count()));
    const auto left = std::chrono::duration_cast<milliseconds>(request.state.facts.deadline - BootClock::now());
    request.isClaimPending = true;
    const RequestNumber number = request.number;
    this->needs.claims->claim(claim, std::max(left, milliseconds(1)), [this, number](const wire::ClaimReply &reply) {
        const auto found = this->running.find(number);
        if (found == this->running.end()) {
            return;
        }
        found->second->claim = reply;
        found->second->isClaimPending = false;
        this->handle(number, {.kind = EventKind::ClaimAnswered, .claim = claimAnswer(reply)});
    });
}

void RequestRunner::relayRecorded(RunningRequest &request)
{
    const wire::ClaimOutcome &outcome = request.claim.outcome();
    net::HttpAnswer answer;
    answer.status = static_cast<int>(outcome.status());
    if (!outcome.content_type().empty()) {
        answer.headers.push_back({"Content-Type", outcome.content_type()});
    }
    answer.body = outcome.body();
    if (request.origin != Origin::Peer) {
        this->needs.ended({.service = request.state.facts.service,
                           .status = answer.status,
                           .latency = BootClock::now() - request.acceptedAt});
    }
    request.exchange->answer(std::move(answer));
}

void RequestRunner::record(RunningRequest &request, const agent::RequestAction &action)
{
    wire::ClaimOutcome outcome;
    outcome.set_service(request.state.facts.service);
    outcome.set_idempotency_key(request.parsed.idempotencyKey);
    outcome.set_attempt(request.parsed.requestId);
    outcome.set_released(action.claimResolution == agent::ClaimResolution::Released);
    outcome.set_unknown(action.claimResolution == agent::ClaimResolution::Unknown);
    if (action.claimResolution == agent::ClaimResolution::Answered) {
        const net::HttpAnswer &answer = request.attempts.at(action.attempt).answer;
        outcome.set_status(static_cast<std::uint32_t>(answer.status));
        outcome.set_body_dropped(answer.body.size() > MaxRecordedBodyBytes);
        if (!outcome.body_dropped()) {
            outcome.set_body(answer.body);
        }
        if (const std::string *type = net::findHeader(answer.headers, "Content-Type"); type != nullptr) {
            outcome.set_content_type(*type);
        }
    }
    this->needs.claims->recordOutcome(outcome, RecordTimeout, [](const wire::OutcomeReply &) {});
}

} // namespace bergamotweir::process
