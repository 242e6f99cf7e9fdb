#include "process/ControlLink.h"

#include "loop/Log.h"
#include "loop/LogEvent.h"
#include "process/AgentState.h"

namespace bergamotweir::process {

namespace {

/** Loads change over seconds; reporting them with every renewal would double its size without benefit. */
constexpr std::chrono::seconds LoadReportInterval{1};

constexpr loop::Log Log("session");

void updateOwnUpstreams(AgentState &state)
{
    state.ownership.ownUpstreams.clear();
    for (const auto &[id, upstream] : state.map.upstreams) {
        if (upstream.agent() == state.settings.agentName) {
            state.ownership.ownUpstreams.insert(id);
        }
    }
}

void updateRoutes(AgentState &state, bool isFull)
{
    const wire::RouteTable &routes = state.map.routes;
    if (routes.revision() == state.table.routes().revision()) {
        return;
    }
    const BootTime updateStartedAt = BootClock::now();
    state.table = state.table.withRoutes(table::RouteTable(routes));
    Log.event(loop::LogLevel::Info, "routes in force")
        .with("revision", routes.revision())
        .with("routes", routes.routes_size())
        .with("index", state.map.version.index())
        .with("whole", isFull)
        .with("took_ms", BootClock::now() - updateStartedAt);
}

void updateTable(AgentState &state)
{
    if (state.map.tableVersion == 0) {
        // No table has been stored yet.
        return;
    }
    Result<table::Table> table = table::Table::parse(state.map.csv);
    if (!table) {
        Log.error("table " + std::to_string(state.map.tableVersion)
                  + " can't be parsed; the one before stays in force");
        return;
    }
    state.table = table.value().withRoutes(state.table.routes());
    Log.info("table " + std::to_string(state.map.tableVersion) + " in force");
}

} // namespace

ControlLink::ControlLink(loop::EventLoop &loop, AgentState &state, ControlLinkEvents events)
    : loop(loop)
    , state(state)
    , events(std::move(events))
    , claimClient(loop, state.settings.controls)
{
    rpc::ControlSessionEvents sessionEvents;
    sessionEvents.hello = [this] {
        return this->hello();
    };
    sessionEvents.opened = [this](rpc::SessionId id) {
        this->opened(id);
    };
    sessionEvents.message = [this](rpc::SessionId id, const wire::ControlMessage &message) {
        this->handleMessage(id, message);
    };
    sessionEvents.closed = [this](rpc::SessionId) {
        Log.warn("session closed");
        agent::endSession(this->state.lease);
    };
    this->session = std::make_unique<rpc::ControlSession>(
        loop,
        state.settings.controls,
        std::move(sessionEvents),
        rpc::ControlSessionTimeouts{.silenceTimeout = state.settings.controlSilenceTimeout, .seed = state.random()});
    this->renewTimer = loop.every(state.settings.renewInterval, [this] {
        this->renew();
    });
}

ControlLink::~ControlLink()
{
    this->loop.cancel(this->renewTimer);
}

wire::Hello ControlLink::hello() const
{
    wire::Hello hello;
    hello.set_agent(this->state.settings.agentName);
    hello.set_failure_domain(this->state.settings.failureDomain);
    hello.set_peer_address(this->state.peerAddress);
    hello.set_operator_address(this->state.operatorAddress);
    *hello.mutable_seen() = this->state.map.version;
    hello.set_incarnation(this->state.incarnation);
    const auto uptime = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - this->state.startedAt);
    hello.set_uptime_ms(static_cast<std::uint64_t>(uptime.count()));
    return hello;
}

void ControlLink::opened(rpc::SessionId id)
{
    agent::beginSession(this->state.lease, id);
    agent::beginLimitSession(this->state.limits);
    for (const wire::UpstreamInfo &upstream : this->events.upstreams()) {
        this->sendReport(upstream);
    }
    this->renew();
}

void ControlLink::handleMessage(rpc::SessionId id, const wire::ControlMessage &message)
{
    if (message.has_renewed()) {
        this->renewed(id, message.renewed());
    } else if (message.has_update()) {
        this->update(id, message.update());
    } else if (message.has_revoke()) {
        Log.event(loop::LogLevel::Info, "slices revoked")
            .with("slices", message.revoke().slices_size())
            .with("first", message.revoke().slices_size() > 0 ? message.revoke().slices(0).begin() : 0);
        agent::revoke(this->state.ownership, message.revoke());
        this->events.revoked(message.revoke());
        this->reportReleased();
    }
}

void ControlLink::renewed(rpc::SessionId id, const wire::Renewed &renewed)
{
    const std::optional<BootTime> sentAt = agent::sentAt(this->state.lease, id, renewed.sequence());
    if (!sentAt || !agent::confirmRenewal(this->state.lease, id, renewed)) {
        // Control counts these shares as granted although they aren't applied, so the next report states all shares in
        // use.
        this->state.limits.reportAll = this->state.limits.reportAll || renewed.shares_size() > 0;
        return;
    }
    agent::applyShares(this->state.limits, renewed, *sentAt, BootClock::now());
    for (const wire::ServiceWork &work : renewed.work()) {
        this->state.serviceWork[work.service()] = {.mean = std::chrono::duration<double>(work.mean_seconds()),
                                                   .headroom = work.headroom(),
                                                   .receivedAt = BootClock::now()};
    }
    this->events.renewed();
}

void ControlLink::update(rpc::SessionId id, const wire::StateUpdate &update)
{
    if (agent::apply(this->state.map, update) == agent::UpdateOutcome::Older) {
        Log.warn("state update ignored: older than the current state");
        return;
    }
    updateOwnUpstreams(this->state);
    agent::forgetOldEpochs(this->state.ownership, this->state.map);
    if (update.has_table()) {
        updateTable(this->state);
        updateRoutes(this->state, update.full());
    }
    this->session->addAddresses({update.controls().begin(), update.controls().end()});
    if (update.full()) {
        wire::AgentMessage message;
        *message.mutable_released() = agent::resumeReleased(this->state.ownership, this->state.map);
        if (!message.released().slices().empty()) {
            this->session->send(message);
        }
        agent::recordFullState(this->state.lease, id);
        this->renew();
    }
    this->events.stateChanged();
}

void ControlLink::reportDemand()
{
    this->renew(true);
}

void ControlLink::renew(bool demandAtOnce)
{
    if (this->state.lease.session == 0) {
        return;
    }
    wire::AgentMessage message;
    message.mutable_renew()->set_sequence(agent::recordRenewal(this->state.lease, BootClock::now()));
    *message.mutable_renew()->mutable_in_force() = this->state.map.version;
    const BootTime now = BootClock::now();
    if (now - this->state.load.since >= LoadReportInterval) {
        agent::reportLoad(this->state.load, this->state.map, this->state.ownership, now, *message.mutable_renew());
    }
    agent::reportDemand(this->state.limits, *message.mutable_renew(), demandAtOnce, now);
    this->session->send(message);
}

void ControlLink::sendReport(const wire::UpstreamInfo &upstream)
{
    wire::AgentMessage message;
    *message.mutable_upstream() = upstream;
    this->session->send(message);
}

void ControlLink::sendReport(const wire::ReportCrash &crash)
{
    wire::AgentMessage message;
    *message.mutable_crash() = crash;
    this->session->send(message);
}

void ControlLink::reportReleased()
{
    wire::AgentMessage message;
    *message.mutable_released() = agent::takeReleased(this->state.ownership, this->state.map);
    if (!message.released().slices().empty()) {
        this->events.released(static_cast<std::size_t>(message.released().slices_size()));
        this->session->send(message);
    }
}

bool ControlLink::isOpen() const
{
    return this->session->isOpen();
}

std::chrono::nanoseconds ControlLink::silence() const
{
    return BootClock::now() - this->session->lastMessageAt();
}

rpc::ClaimClient &ControlLink::claims()
{
    return this->claimClient;
}

} // namespace bergamotweir::process
