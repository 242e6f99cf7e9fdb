#include "process/ControlProcess.h"

#include "control/OperatorReads.h"
#include "loop/EventLoop.h"
#include "loop/Log.h"
#include "net/HttpServer.h"
#include "process/CommandTimes.h"
#include "process/ReplicaIdentity.h"
#include "process/ReplicaSettings.h"

#include <chrono>
#include <variant>

namespace bergamotweir::process {

namespace {

constexpr loop::Log Log("control");

constexpr std::chrono::milliseconds TickInterval{20};
constexpr std::chrono::seconds ExpiryInterval{1};
/** A request sent again after this time counts as a new request; see docs/design/ownership.md. */
constexpr std::chrono::hours ClaimWindow{24};
constexpr std::chrono::minutes QuarantineWindow{10};
constexpr std::size_t MaxClaimNameBytes = 512;

} // namespace

ControlProcess::ControlProcess(loop::EventLoop &loop, const ControlSettings &settings)
    : loop(loop)
    , loopMonitor(loop)
    , settings(settings)
    , coordinator(settings.coordinator, this->state)
{
}

Result<std::unique_ptr<ControlProcess>>
ControlProcess::start(loop::EventLoop &loop, const ControlSettings &settings, std::function<void()> failed)
{
    ControlSettings complete = settings;
    if (complete.group) {
        Findings identityFindings = determineIdentity(complete);
        if (!identityFindings.empty()) {
            return identityFindings;
        }
    }
    std::unique_ptr<ControlProcess> process(new ControlProcess(loop, complete));
    Findings findings = process->open(std::move(failed));
    if (!findings.empty()) {
        return findings;
    }
    return process;
}

ControlProcess::~ControlProcess()
{
    *this->alive = false;
    this->loop.cancel(this->tickTimer);
    this->loop.cancel(this->expiryTimer);
}

Findings ControlProcess::open(std::function<void()> failed)
{
    Result<std::unique_ptr<rpc::ControlService>> listening = rpc::ControlService::listen(
        this->loop, this->settings.address, this->settings.controlPort, this->serviceEvents());
    if (!listening) {
        return listening.error();
    }
    this->service = std::move(listening).value();
    Findings findings = this->openNode(std::move(failed));
    if (findings.empty()) {
        findings = this->openOperatorPort();
    }
    if (findings.empty() && this->settings.operatorProtocol != nullptr) {
        findings = this->openOrderPort();
    }
    if (!findings.empty()) {
        return findings;
    }
    if (this->settings.group) {
        this->membershipManager = std::make_unique<MembershipManager>(
            this->loop, *this->node, *this->settings.group, this->settings.replicaId);
    }
    this->tickTimer = this->loop.every(TickInterval, [this] {
        this->updateControlAddresses();
        this->coordinator.tick(BootClock::now());
        this->scheduleActions();
    });
    this->expiryTimer = this->loop.every(ExpiryInterval, [this] {
        this->expire();
    });
    Log.info("replica " + this->settings.replicaId + " listens on control port " + std::to_string(this->service->port())
             + ", replica port " + std::to_string(this->node->raftPort()) + ", operator port "
             + std::to_string(this->operatorServer->port()));
    return {};
}

Findings ControlProcess::openNode(std::function<void()> failed)
{
    Result<ReplicaSettings> replica = ReplicaSettingsBuilder()
                                          .id(this->settings.replicaId)
                                          .listen(this->settings.address, this->settings.raftPort)
                                          .controlAddress(endpoint(this->settings.address, this->service->port()))
                                          .dataFolder(this->settings.dataFolder)
                                          .initial(this->settings.initial)
                                          .join(this->settings.join)
                                          .raft(this->settings.raft)
                                          .seed(this->settings.seed)
                                          .build();
    if (!replica) {
        return replica.error();
    }
    ReplicaHooks hooks;
    hooks.apply = [this](const wire::Version &version, std::string_view command) {
        return this->apply(version, command);
    };
    hooks.snapshot = [this] {
        return this->state.snapshot();
    };
    hooks.restore = [this](const wire::Version &, std::string_view bytes) {
        if (!this->state.restore(bytes)) {
            Log.error("snapshot of the replicated state can't be parsed");
        }
    };
    hooks.leadershipChanged = [this](bool leader, std::uint64_t) {
        this->leadershipChanged(leader);
    };
    hooks.joinRequested = [this](const wire::Replica &replica) {
        if (this->membershipManager) {
            this->membershipManager->joinRequested(replica);
        }
    };
    hooks.stopped = [failed = std::move(failed)](const Findings &findings) {
        Log.error(findings);
        failed();
    };
    Result<std::unique_ptr<ReplicaNode>> opened =
        ReplicaNode::open(this->loop, std::move(replica).value(), std::move(hooks));
    if (!opened) {
        return opened.error();
    }
    this->node = std::move(opened).value();
    return {};
}

Findings ControlProcess::openOperatorPort()
{
    Result<net::HttpServerSettings> http =
        net::HttpServerSettingsBuilder().address(this->settings.address).port(this->settings.operatorPort).build();
    if (!http) {
        return http.error();
    }
    Result<std::unique_ptr<net::HttpServer>> listening =
        net::HttpServer::listen(this->loop, http.value(), [this](const std::shared_ptr<net::Exchange> &exchange) {
            this->answerHttp(*exchange);
        });
    if (!listening) {
        return listening.error();
    }
    this->operatorServer = std::move(listening).value();
    return {};
}

rpc::ControlServiceEvents ControlProcess::serviceEvents()
{
    rpc::ControlServiceEvents events;
    events.opened = [this](std::uint64_t session, const wire::Hello &hello) {
        this->coordinator.opened(session, hello, BootClock::now());
        this->scheduleActions();
    };
    events.message = [this](std::uint64_t session, const wire::AgentMessage &message) {
        this->coordinator.received(session, message, BootClock::now());
        this->scheduleActions();
    };
    events.closed = [this](std::uint64_t session) {
        this->coordinator.closed(session);
    };
    events.claim = [this](const wire::ClaimRequest &request, const std::function<void(wire::ClaimReply)> &answer) {
        this->claim(request, answer);
    };
    events.recordOutcome = [this](const wire::ClaimOutcome &outcome,
                                  const std::function<void(wire::OutcomeReply)> &answer) {
        this->recordOutcome(outcome, answer);
    };
    events.operate = [this](const wire::OperatorRequest &request,
                            const std::function<void(wire::OperatorReply)> &answer) {
        this->operate(request, answer);
    };
    return events;
}

void ControlProcess::stop(std::function<void()> done)
{
    if (std::exchange(this->stopping, true)) {
        return;
    }
    Log.info("stopping");
    this->node->transferLeadership(std::move(done));
}

std::uint16_t ControlProcess::controlPort() const
{
    return this->service->port();
}

std::string ControlProcess::apply(const wire::Version &version, std::string_view bytes)
{
    wire::Command command;
    if (!command.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        Log.error("command in the log can't be parsed; skipped");
        return {};
    }
    const control::Applied applied = this->state.apply(version, command);
    this->coordinator.applied(applied);
    this->scheduleActions();
    return applied.result.SerializeAsString();
}

void ControlProcess::leadershipChanged(bool leader)
{
    Log.info(leader ? "leads" : "follows");
    if (leader) {
        this->coordinator.lead(BootClock::now());
    } else {
        this->coordinator.follow();
    }
    this->scheduleActions();
}

void ControlProcess::updateControlAddresses()
{
    if (!this->node->isLeader()) {
        return;
    }
    std::vector<std::string> addresses;
    const wire::Membership membership = this->node->membership();
    for (const wire::Replica &replica : membership.replicas()) {
        addresses.push_back(replica.control_address());
    }
    this->coordinator.setControls(std::move(addresses));
}

void ControlProcess::scheduleActions()
{
    if (std::exchange(this->actionsScheduled, true)) {
        return;
    }
    this->loop.post([this, alive = this->alive] {
        if (!*alive) {
            return;
        }
        this->actionsScheduled = false;
        for (control::Action &action : this->coordinator.takeActions()) {
            std::visit(
                [this](auto &one) {
                    this->perform(std::move(one));
                },
                action);
        }
    });
}

void ControlProcess::perform(control::ProposeAction action)
{
    stamp(action.command);
    this->node->propose(action.command.SerializeAsString(),
                        [this, proposal = action.proposal](const ProposeResult &result) {
                            const bool applied = result.kind == ProposeOutcome::Applied;
                            this->coordinator.proposed(
                                proposal, applied ? control::ProposalOutcome::Applied : control::ProposalOutcome::Lost);
                            this->scheduleActions();
                        });
}

void ControlProcess::perform(const control::SendAction &action)
{
    this->service->send(action.session, action.message);
}

void ControlProcess::perform(const control::CloseAction &action)
{
    wire::ControlMessage redirect;
    redirect.mutable_redirect()->set_leader_address(this->node->isLeader() ? "" : this->node->leaderControlAddress());
    this->service->send(action.session, std::make_shared<const wire::ControlMessage>(std::move(redirect)));
    this->service->close(action.session);
}

void ControlProcess::perform(const control::ConfirmAction &)
{
    this->node->confirmLeadership([this](bool leads) {
        this->coordinator.confirmed(leads, BootClock::now());
        this->scheduleActions();
    });
}

void ControlProcess::claim(wire::ClaimRequest request, const std::function<void(wire::ClaimReply)> &answer)
{
    if (request.idempotency_key().size() + request.service().size() > MaxClaimNameBytes) {
        wire::ClaimReply reply;
        reply.set_verdict(wire::CLAIM_VERDICT_FULL);
        answer(std::move(reply));
        return;
    }
    wire::Command command;
    *command.mutable_claim() = std::move(request);
    stamp(command);
    this->node->propose(command.SerializeAsString(), [this, answer](const ProposeResult &result) {
        wire::ClaimReply reply;
        reply.set_verdict(wire::CLAIM_VERDICT_UNAVAILABLE);
        if (result.kind == ProposeOutcome::Applied) {
            reply = resultOf(result).claim();
        } else {
            reply.set_leader_address(this->node->leaderControlAddress());
        }
        answer(std::move(reply));
    });
}

void ControlProcess::recordOutcome(wire::ClaimOutcome outcome, const std::function<void(wire::OutcomeReply)> &answer)
{
    if (outcome.body().size() > control::ClaimStore::MaxAnswerBytes) {
        outcome.clear_body();
        outcome.set_body_dropped(true);
    }
    wire::Command command;
    *command.mutable_claim_outcome() = std::move(outcome);
    this->node->propose(command.SerializeAsString(), [this, answer](const ProposeResult &result) {
        wire::OutcomeReply reply = resultOf(result).outcome();
        if (result.kind != ProposeOutcome::Applied) {
            reply.set_leader_address(this->node->leaderControlAddress());
        }
        answer(std::move(reply));
    });
}

void ControlProcess::expire()
{
    if (!this->node->isLeader()) {
        return;
    }
    const UnixTime now = fromUnixMillis(unixMilliseconds());
    const UnixTime claimsBefore = now - ClaimWindow;
    const UnixTime quarantineBefore = now - QuarantineWindow;
    const bool hasExpiredClaim = this->state.claims().oldest().value_or(now) < claimsBefore;
    const bool hasExpiredSuspect = this->state.quarantine().oldest().value_or(now) < quarantineBefore;
    if (!hasExpiredClaim && !hasExpiredSuspect) {
        return;
    }
    wire::Command command;
    command.mutable_expire_claims()->set_before_unix_ms(toUnixMillis(claimsBefore));
    command.mutable_expire_claims()->set_quarantine_before_unix_ms(toUnixMillis(quarantineBefore));
    this->node->propose(command.SerializeAsString(), [](const ProposeResult &) {});
}

void ControlProcess::answerHttp(net::Exchange &exchange) const
{
    const std::string &target = exchange.request().target;
    if (target == "/healthz") {
        exchange.answer({200, {{"Content-Type", "text/plain"}}, this->node->isLeader() ? "leads\n" : "follows\n"});
    } else if (target == "/metrics") {
        exchange.answer({200,
                         {{"Content-Type", "text/plain; version=0.0.4"}},
                         control::metricsText(this->state, this->coordinator, BootClock::now())});
    } else {
        exchange.answer({404, {{"Content-Type", "text/plain"}}, "no such page\n"});
    }
}

} // namespace bergamotweir::process
