#include "loop/Log.h"
#include "process/AgentMetrics.h"
#include "process/AgentProtocol.h"
#include "process/AgentState.h"
#include "process/RequestRunner.h"
#include "process/RunningRequest.h"

namespace bergamotweir::process {

namespace {

constexpr loop::Log Log("limit");

constexpr int TooManyRequests = 429;
constexpr int Unavailable = 503;

agent::RefusalDetails refusalFor(const agent::LimitDecision &decision)
{
    agent::RefusalDetails refusal;
    refusal.cause = agent::RefusalCause::Limit;
    refusal.outcome = agent::AttemptOutcome::OverLimit;
    refusal.status = decision.verdict == agent::LimitVerdict::NoShare ? Unavailable : TooManyRequests;
    refusal.ran = agent::Ran::No;
    refusal.retryAfter = true;
    refusal.retryAfterDelay = decision.retryAfter;
    return refusal;
}

} // namespace

std::optional<net::HttpAnswer> RequestRunner::refuseBeyondLimit(ParsedRequest &parsed)
{
    const table::Workspace *workspace = this->state.table.routes().workspace(parsed.workspace);
    if (workspace == nullptr) {
        return std::nullopt;
    }
    const agent::LimitDecision decision = agent::admit(this->state.limits, *workspace, BootClock::now());
    if (decision.shouldAskControl && this->needs.demandRose) {
        this->needs.demandRose();
    }
    if (agent::isAdmitted(decision)) {
        parsed.countsAgainstShare = decision.verdict == agent::LimitVerdict::Admitted && table::isLimited(*workspace);
        return std::nullopt;
    }
    const agent::LimitShare &share = this->state.limits.workspaces[workspace->name];
    const char *reason = decision.verdict == agent::LimitVerdict::NoShare ? "no share of the limit" : "over the limit";
    Log.event(loop::LogLevel::Info, "request refused", loop::FailureBound)
        .with("request", parsed.requestId)
        .with("reason", reason)
        .with("workspace", workspace->name)
        .with("share", share.share)
        .with("demand", share.demand)
        .with("limit_per_s", workspace->ratePerSecond)
        .with("revision", this->state.table.routes().revision())
        .with("share_left_ms", this->state.limits.validUntil - BootClock::now());
    if (this->needs.metrics != nullptr) {
        this->needs.metrics->refused(reason);
    }
    return this->state.protocol->refuse({refusalFor(decision), &this->state.random});
}

void RequestRunner::returnAdmission(const RunningRequest &request, const agent::RefusalDetails &refusal)
{
    if (request.parsed.countsAgainstShare && refusal.ran == agent::Ran::No) {
        agent::returnAdmission(this->state.limits, request.parsed.workspace);
    }
}

} // namespace bergamotweir::process
