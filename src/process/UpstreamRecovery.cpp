#include "process/UpstreamRecovery.h"

#include "loop/Log.h"
#include "process/AgentState.h"
#include "process/HealthCall.h"

namespace bergamotweir::process {

namespace {

constexpr std::chrono::milliseconds HealthTimeout{500};

constexpr loop::Log Log("agent");

} // namespace

UpstreamRecovery::UpstreamRecovery(loop::EventLoop &loop,
                                   AgentState &state,
                                   std::function<void(const RecoveredUpstream &)> found)
    : state(state)
    , found(std::move(found))
    , client(loop)
{
}

void UpstreamRecovery::update()
{
    if (this->state.protocol->recoverUpstream == nullptr || this->state.stopping
        || this->state.table.routes().revision() == 0) {
        return;
    }
    for (const std::uint32_t id : this->state.ownership.ownUpstreams) {
        const wire::UpstreamInfo &registered = *agent::findUpstream(this->state.map, id);
        const bool isOwnAddress = registered.address() == this->state.settings.upstreamAddress;
        // An upstream that this process has announced itself needs no recovery.
        const bool isOfPredecessor = registered.agent_incarnation() != this->state.incarnation;
        if (registered.serving() && isOwnAddress && isOfPredecessor && this->asked.insert(id).second) {
            this->ask(registered);
        }
    }
}

void UpstreamRecovery::ask(const wire::UpstreamInfo &registered)
{
    net::HttpCall call = healthCallTo(this->state, registered.service(), registered.address(), HealthTimeout);
    this->client.send(std::move(call), [this, registered](const net::CallResult &result) {
        std::optional<RecoveredUpstream> recovered;
        if (result.outcome == net::CallOutcome::Answered) {
            recovered = this->state.protocol->recoverUpstream(registered, result.answer);
        }
        Log.event(loop::LogLevel::Info, "upstream of the previous process")
            .with("upstream", registered.name())
            .with("found", recovered.has_value());
        if (recovered) {
            this->found(*recovered);
        }
    });
}

} // namespace bergamotweir::process
