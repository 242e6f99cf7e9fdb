#pragma once

#include "agent/RequestAction.h"
#include "agent/RequestEvent.h"
#include "loop/EventLoop.h"
#include "net/Exchange.h"
#include "net/HttpClient.h"
#include "process/RequestText.h"

#include <control.pb.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace bergamotweir::rpc {
class ClaimClient;
}

namespace bergamotweir::process {

struct AgentState;
class AgentMetrics;
class LocalUpstream;

/** How a request ended, for the burn report. */
struct RequestSummary {
    std::string service;
    std::uint32_t upstream = 0;
    int status = 0;
    /** True when the system itself refused the request. */
    bool refused = false;
    std::chrono::nanoseconds latency{0};
};

/** Dependencies of a RequestRunner, provided by its owner. */
struct RequestRunnerNeeds {
    /** @return the local upstream with this id in control's state, or nullptr */
    std::function<LocalUpstream *(std::uint32_t)> localUpstream;
    rpc::ClaimClient *claims = nullptr;
    /** May be nullptr. */
    AgentMetrics *metrics = nullptr;
    std::function<void(const RequestSummary &)> ended;
    /** Called when the demand of workspaces should be reported to control at once; may be empty. */
    std::function<void()> demandRose;
};

/**
 * Carries out the actions of agent::step() for all requests in progress at this agent.
 * Owned by AgentProcess; used on the loop's thread.
 */
class RequestRunner
{
public:
    RequestRunner(loop::EventLoop &loop, AgentState &state, RequestRunnerNeeds needs);
    ~RequestRunner();
    RequestRunner(const RequestRunner &) = delete;
    RequestRunner &operator=(const RequestRunner &) = delete;

    /** Accepts a request from a caller or from another agent. */
    void accept(const std::shared_ptr<net::Exchange> &exchange, Origin origin);

    /** Called when routes, table or marks have changed: requests that wait for an owner are routed again. */
    void stateChanged();

    /** Called when a gate has decided on a queued ticket. */
    void gateDecided(std::uint64_t ticket, bool admitted);

    /** @return the number of requests that have not been answered yet */
    std::size_t inProgress() const;

    /** Ends all requests in progress as if their time limits had passed. */
    void expireAll();

private:
    struct RunningRequest;
    struct LiveAttempt;
    using RequestNumber = std::uint64_t;

    std::variant<ParsedRequest, net::HttpAnswer> read(const net::HttpRequest &request, Origin origin, BootTime now);
    void handle(RequestNumber number, const agent::RequestEvent &event);
    void perform(RunningRequest &request, const agent::RequestAction &action);
    void claim(RunningRequest &request);
    void route(RunningRequest &request);
    void logUpstreamChoice(const RunningRequest &request, std::uint32_t upstream) const;
    void recordTime(const RunningRequest &request, const LiveAttempt &attempt);
    std::uint32_t routeKeyed(const RunningRequest &request) const;
    std::uint32_t routeUnkeyed(RunningRequest &request);
    /** Records that the upstream is leaving if its answer, which is passed on to a caller, says so. */
    void recordLeaving(std::uint32_t upstream, const net::HttpAnswer &answer);
    std::uint32_t routeForwarded(const RunningRequest &request) const;
    void wait(RunningRequest &request, std::chrono::nanoseconds delay);
    void armHedge(RunningRequest &request);
    void enterGate(RunningRequest &request, const agent::RequestAction &action);
    void dispatch(RunningRequest &request, const agent::RequestAction &action);
    void forward(RunningRequest &request, const agent::RequestAction &action);
    void cancel(RunningRequest &request, unsigned attempt);
    void relay(RunningRequest &request, unsigned attempt);
    void relayRecorded(RunningRequest &request);
    /** @return the refusal if the limit of the caller's workspace admits no request now */
    std::optional<net::HttpAnswer> refuseBeyondLimit(ParsedRequest &parsed);
    /** Stops counting a refused request against its workspace's share of the limit, unless it may have run. */
    void returnAdmission(const RunningRequest &request, const agent::RefusalDetails &refusal);
    void recordCompletion(const RunningRequest &request, std::string_view outcomeLabel, int status);
    void refuse(RunningRequest &request, const agent::RefusalDetails &refusal);
    void record(RunningRequest &request, const agent::RequestAction &action);
    void attemptEnded(
        RequestNumber number, unsigned attempt, agent::AttemptOutcome outcome, bool mayHaveRun, net::HttpAnswer answer);
    void recordRouting(RunningRequest &request, const LiveAttempt &attempt, agent::AttemptOutcome outcome);
    void finish(RunningRequest &request);
    agent::AttemptOutcome checkDispatch(const RunningRequest &request, std::uint64_t &epoch) const;

    loop::EventLoop &loop;
    AgentState &state;
    RequestRunnerNeeds needs;
    net::HttpClient peers;
    std::unordered_map<RequestNumber, std::unique_ptr<RunningRequest>> running;
    std::unordered_map<std::uint64_t, std::pair<RequestNumber, unsigned>> tickets;
    std::size_t waitingCount = 0;
    RequestNumber lastRequestNumber = 0;
    std::uint64_t lastTicket = 0;
    std::string idPrefix;
};

} // namespace bergamotweir::process
