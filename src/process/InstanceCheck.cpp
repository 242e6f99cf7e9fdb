#include "process/InstanceCheck.h"

#include "process/AgentProtocol.h"
#include "process/AgentState.h"
#include "process/HealthCall.h"

namespace bergamotweir::process {

namespace {

/** Leaves time to answer the heartbeat, for which its sender waits a second. */
constexpr std::chrono::milliseconds Timeout{500};
constexpr int Healthy = 200;

} // namespace

InstanceCheck::InstanceCheck(loop::EventLoop &loop, AgentState &state)
    : state(state)
    , client(loop)
{
}

void InstanceCheck::ask(const Announcement &upstream, std::function<void(const InstanceAnswer &)> done)
{
    net::HttpCall call = healthCallTo(this->state, upstream.service, upstream.address, Timeout);
    call.needsNewConnection = true;
    this->client.send(std::move(call), [this, done = std::move(done)](const net::CallResult &result) {
        InstanceAnswer answer;
        if (result.outcome == net::CallOutcome::Answered) {
            answer.instance = this->state.protocol->readInstance(result.answer);
            answer.isHealthy = result.answer.status == Healthy;
        }
        done(answer);
    });
}

} // namespace bergamotweir::process
