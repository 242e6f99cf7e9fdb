#include "process/AgentProcess.h"

#include "loop/Log.h"
#include "net/Problem.h"
#include "process/OwnProtocol.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bergamotweir::process {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds StopInterval{20};
/** Time for forwarded requests in flight to arrive after all routing has dropped this agent. */
constexpr milliseconds ForwardDrainTime{300};
/** Time to write the last answers: those to requests that are ended by a stop, and those that are ready behind them. */
constexpr milliseconds MaxFinalWriteTime{100};
constexpr std::size_t MaxAnnouncementBytes = 16384;

constexpr loop::Log Log("agent");

std::uint64_t chooseSeed(const AgentSettings &settings)
{
    if (settings.seed != 0) {
        return settings.seed;
    }
    return static_cast<std::uint64_t>(BootClock::now().time_since_epoch().count())
           ^ std::hash<std::string>()(settings.agentName);
}

/** Binds one server; adds errors to the findings under the flag's name. */
template<typename Server = net::HttpServer>
std::unique_ptr<Server> bindServer(loop::EventLoop &loop,
                                   const net::HttpServerSettingsBuilder &builder,
                                   const char *flag,
                                   typename Server::Handler handler,
                                   Findings &findings)
{
    const Result<net::HttpServerSettings> settings = builder.build();
    if (!settings) {
        findings.insert(findings.end(), settings.error().begin(), settings.error().end());
        return nullptr;
    }
    auto server = Server::listen(loop, settings.value(), std::move(handler));
    if (!server) {
        for (const Finding &finding : server.error()) {
            findings.push_back({flag, finding.message, finding.remedy});
        }
        return nullptr;
    }
    return std::move(server).value();
}

/** Removes the health of upstreams that are no longer candidates. */
void pruneHealth(ServiceState &service)
{
    std::erase_if(service.routing.health, [&](const auto &entry) {
        return std::none_of(
            service.candidates.begin(), service.candidates.end(), [&](const agent::Candidate &candidate) {
                return candidate.upstream == entry.first;
            });
    });
}

/** @return condition for operators: cold, slow or warm */
const char *conditionOf(const agent::AdaptiveLimit &limit)
{
    if (limit.phase == agent::LimitPhase::Cold) {
        return "cold";
    }
    // Slow: its limit allows less than half of the concurrency that it announced.
    return 2 * agent::allowedConcurrency(limit) < limit.ceiling ? "slow" : "warm";
}

net::HttpAnswer textAnswer(int status, const char *type, std::string body)
{
    net::HttpAnswer answer;
    answer.status = status;
    answer.headers = {{"Content-Type", type}};
    answer.body = std::move(body);
    return answer;
}

} // namespace

Result<std::unique_ptr<AgentProcess>> AgentProcess::open(loop::EventLoop &loop, const AgentSettings &settings)
{
    std::unique_ptr<AgentProcess> process(new AgentProcess(loop, settings));
    Findings findings = process->listen();
    if (!findings.empty()) {
        return findings;
    }
    process->connect();
    return process;
}

AgentProcess::AgentProcess(loop::EventLoop &loop, const AgentSettings &settings)
    : loop(loop)
    , loopMonitor(loop)
    , report(this->state)
    , bodies(this->loop, this->state, [this](std::uint32_t id) {
        return this->localUpstream(id);
    })
{
    this->state.settings = settings;
    this->state.protocol = settings.protocol == nullptr ? &ownProtocol() : settings.protocol;
    this->state.ownership.upstreamsHoldGrants = this->state.protocol->usesHeartbeats;
    this->state.random.seed(chooseSeed(settings));
    this->state.startedAt = BootClock::now();
    this->state.limits.bounds = settings.limitBounds;
    this->state.limits.startedAt = this->state.startedAt;
    const std::uint64_t start = (static_cast<std::uint64_t>(this->state.random()) << 32U) | this->state.random();
    this->state.incarnation = std::to_string(start);
}

AgentProcess::~AgentProcess()
{
    for (const auto &[name, held] : this->heldHeartbeats) {
        this->loop.cancel(held.timer);
    }
}

Findings AgentProcess::listen()
{
    const AgentSettings &settings = this->state.settings;
    Findings findings;
    const auto settingsFor = [&](const std::string &address, std::uint16_t port) {
        return net::HttpServerSettingsBuilder().address(address).port(port);
    };
    this->callers = bindServer<net::PipelineServer>(
        this->loop,
        settingsFor(settings.address, settings.callerPort),
        "--caller-port",
        [this](const std::shared_ptr<net::Exchange> &exchange) {
            this->runner->accept(exchange, Origin::Caller);
        },
        findings);
    this->peers = bindServer(
        this->loop,
        settingsFor(settings.address, settings.peerPort),
        "--peer-port",
        [this](const std::shared_ptr<net::Exchange> &exchange) {
            this->runner->accept(exchange, Origin::Peer);
        },
        findings);
    this->announcements = bindServer(
        this->loop,
        settingsFor(settings.announceAddress, settings.announcePort)
            .maxBodyBytes(MaxAnnouncementBytes)
            .priority(loop::WatchPriority::High),
        "--announce-port",
        [this](const std::shared_ptr<net::Exchange> &exchange) {
            if (this->state.protocol->usesHeartbeats) {
                this->handleHeartbeat(exchange);
            } else {
                this->handleAnnouncement(exchange);
            }
        },
        findings);
    this->operators = bindServer(
        this->loop,
        settingsFor(settings.address, settings.operatorPort),
        "--operator-port",
        [this](const std::shared_ptr<net::Exchange> &exchange) {
            this->answerOperator(exchange);
        },
        findings);
    if (settings.readyPort != 0) {
        this->readiness = bindServer(
            this->loop,
            settingsFor(settings.address, settings.readyPort),
            "--ready-port",
            [this](const std::shared_ptr<net::Exchange> &exchange) {
                exchange->answer(textAnswer(this->isReady() ? 200 : 503, "text/plain", ""));
            },
            findings);
    }
    return findings;
}

void AgentProcess::connect()
{
    this->peers->admitBodies([this](const std::shared_ptr<net::ExpectedBody> &body) {
        return this->bodies.handleAnnouncedBody(body);
    });
    const std::string address = this->state.settings.address + ":";
    this->state.peerAddress = address + std::to_string(this->peers->port());
    this->state.operatorAddress = address + std::to_string(this->operators->port());
    ControlLinkEvents events;
    events.stateChanged = [this] {
        this->stateChanged();
    };
    events.revoked = [this](const wire::Revoke &order) {
        if (this->state.protocol->usesHeartbeats) {
            this->sendGrants();
            return;
        }
        for (const auto &[name, upstream] : this->upstreams) {
            upstream->sendRevoke(order);
        }
    };
    events.released = [this](std::size_t slices) {
        this->metrics.recordReleasedSlices(slices);
    };
    events.renewed = [this] {
        if (this->state.protocol->usesHeartbeats) {
            this->sendGrants();
            return;
        }
        for (const auto &[name, upstream] : this->upstreams) {
            upstream->renewGrants();
        }
    };
    events.upstreams = [this] {
        std::vector<wire::UpstreamInfo> infos;
        for (const auto &[name, upstream] : this->upstreams) {
            infos.push_back(upstream->info());
        }
        return infos;
    };
    this->control = std::make_unique<ControlLink>(this->loop, this->state, std::move(events));
    RequestRunnerNeeds needs;
    needs.localUpstream = [this](std::uint32_t id) {
        return this->localUpstream(id);
    };
    needs.claims = &this->control->claims();
    needs.metrics = &this->metrics;
    needs.demandRose = [this] {
        this->control->reportDemand();
    };
    needs.ended = [this](const RequestSummary &summary) {
        this->report.recordCompleted(summary);
    };
    this->loop.after(this->state.settings.predecessorGrantTime, [this] {
        this->state.ownership.predecessorGrantsExpired = true;
        this->control->reportReleased();
    });
    this->runner = std::make_unique<RequestRunner>(this->loop, this->state, std::move(needs));
    this->recovery = std::make_unique<UpstreamRecovery>(this->loop, this->state, [this](const auto &recovered) {
        this->addRecovered(recovered);
    });
    this->instanceCheck = std::make_unique<InstanceCheck>(this->loop, this->state);
    Log.info(this->state.settings.agentName + ": callers on port " + std::to_string(this->callers->port())
             + ", peers on " + std::to_string(this->peers->port()) + ", announcements on "
             + std::to_string(this->announcements->port()) + ", operators on "
             + std::to_string(this->operators->port()));
}

/** An agent is ready once it knows the routes, until it stops; at other times it could only refuse requests. */
bool AgentProcess::isReady() const
{
    return !this->state.stopping && this->state.map.version.index() != 0
           && (this->state.table.routes().revision() != 0 || this->state.map.tableVersion != 0);
}

void AgentProcess::stateChanged()
{
    this->report.tableChanged();
    if (this->state.table.routes().revision() != this->appliedRevision) {
        this->appliedRevision = this->state.table.routes().revision();
        this->revisionAppliedAt = BootClock::now();
    }
    const bool isMarkedOut = this->state.map.failureDomainsOut.contains(this->state.settings.failureDomain);
    if (!isMarkedOut) {
        this->state.domainMarkedOutAt = BootTime();
    } else if (this->state.domainMarkedOutAt == BootTime()) {
        this->state.domainMarkedOutAt = BootClock::now();
    }
    for (const auto &[name, upstream] : this->upstreams) {
        upstream->applyTable();
        upstream->restoreLearnedLimit();
        upstream->restoreNotice();
    }
    this->rebuildCandidates();
    this->recovery->update();
    this->sendGrants();
    this->runner->stateChanged();
}

void AgentProcess::rebuildCandidates()
{
    for (auto &[name, service] : this->state.services) {
        service.candidates.clear();
    }
    for (const auto &[id, upstream] : this->state.map.upstreams) {
        const table::UpstreamPolicy policy =
            this->state.table.upstream(upstream.service(), upstream.failure_domain(), upstream.name());
        const LocalUpstream *local = this->localUpstream(id);
        const bool localReady = local == nullptr || (local->takesWork() && !this->state.stopping);
        if (!agent::isInService(this->state.map, upstream) || !policy.inService || policy.weight <= 0 || !localReady) {
            continue;
        }
        const bool localDomain = upstream.failure_domain() == this->state.settings.failureDomain;
        serviceOf(this->state, upstream.service()).candidates.push_back({id, policy.weight, localDomain});
    }
    for (auto &entry : this->state.services) {
        pruneHealth(entry.second);
    }
}

void AgentProcess::sendGrants()
{
    for (const auto &[name, upstream] : this->upstreams) {
        if (this->state.protocol->usesHeartbeats) {
            upstream->updateCallGrants();
        } else {
            upstream->sendGrants();
        }
    }
    this->answerHeldHeartbeats();
}

LocalUpstream *AgentProcess::localUpstream(std::uint32_t id)
{
    if (!this->state.ownership.ownUpstreams.contains(id)) {
        return nullptr;
    }
    const wire::UpstreamInfo *known = agent::findUpstream(this->state.map, id);
    const auto found =
        known == nullptr ? this->upstreams.end() : this->upstreams.find({known->service(), known->name()});
    return found == this->upstreams.end() ? nullptr : found->second.get();
}

void AgentProcess::answerOperator(const std::shared_ptr<net::Exchange> &exchange)
{
    const std::string &target = exchange->request().target;
    if (target == "/healthz") {
        exchange->answer(textAnswer(200, "application/json", this->healthJson()));
        return;
    }
    if (std::optional<net::HttpAnswer> answer = this->report.answer(target, this->gauges())) {
        if (target == "/metrics") {
            this->updateMetrics();
            answer->body += this->metrics.text();
        }
        exchange->answer(std::move(*answer));
        return;
    }
    exchange->answer(net::problem(404, "not found", "/healthz, /metrics, /burn, /burn?json", net::RequestRan::No));
}

void AgentProcess::updateMetrics()
{
    struct Notices {
        double rateLimit = 0;
        unsigned leaving = 0;
    };
    std::uint64_t connections = 0;
    std::map<std::string, Notices> notices;
    for (const auto &[name, upstream] : this->upstreams) {
        connections += upstream->connectionsOpened();
        Notices &service = notices[name.first];
        if (upstream->status() != UpstreamStatus::Crashed) {
            service.rateLimit += upstream->rateLimit().value_or(0);
            service.leaving += upstream->isLeaving() ? 1 : 0;
        }
    }
    this->metrics.clearUpstreamNotices();
    for (const auto &[service, stated] : notices) {
        this->metrics.upstreamNotices(service, stated.rateLimit, stated.leaving);
    }
    this->metrics.connectionsOpened(connections);
    this->metrics.revision(this->appliedRevision, BootClock::now() - this->revisionAppliedAt);
}

std::string AgentProcess::healthJson() const
{
    nlohmann::json health = {{"agent", this->state.settings.agentName},
                             {"control_session", this->control->isOpen()},
                             {"lease", agent::isValidAt(this->state.lease, BootClock::now())},
                             {"table_version", this->state.map.tableVersion},
                             {"in_progress", this->runner->inProgress()},
                             {"stopping", this->state.stopping}};
    for (const auto &[name, upstream] : this->upstreams) {
        health["upstreams"].push_back({{"service", name.first},
                                       {"name", name.second},
                                       {"serving", upstream->status() == UpstreamStatus::Serving},
                                       {"in_progress", upstream->inProgress()},
                                       {"allowed", agent::allowedConcurrency(upstream->limit())},
                                       {"condition", conditionOf(upstream->limit())},
                                       {"load", upstream->load()}});
    }
    return health.dump();
}

std::vector<report::Metric> AgentProcess::gauges() const
{
    const auto gauge = [](const char *name, const char *help, double value) {
        return report::Metric{name, help, report::MetricType::Gauge, {{{}, value}}};
    };
    report::Metric load{"bergamotweir_upstream_load",
                        "Requests in progress and waiting over those allowed.",
                        report::MetricType::Gauge,
                        {}};
    report::Metric inProgress{"bergamotweir_upstream_in_progress",
                              "Requests in progress at an upstream beside this agent.",
                              report::MetricType::Gauge,
                              {}};
    for (const auto &[name, upstream] : this->upstreams) {
        const std::vector<std::pair<std::string, std::string>> labels{{"service", name.first},
                                                                      {"upstream", name.second}};
        load.samples.push_back({labels, upstream->load()});
        inProgress.samples.push_back({labels, static_cast<double>(upstream->inProgress())});
    }
    const auto seconds = [](std::chrono::nanoseconds time) {
        return std::chrono::duration<double>(time).count();
    };
    return {gauge("bergamotweir_control_session_open",
                  "1 while this agent has a session with control.",
                  this->control->isOpen() ? 1 : 0),
            gauge("bergamotweir_control_silence_seconds",
                  "Time since a message from control was last handled.",
                  seconds(this->control->silence())),
            gauge("bergamotweir_control_unconfirmed_seconds",
                  "Time since control last confirmed that this agent has applied all that is committed.",
                  seconds(BootClock::now() - std::max(this->state.lease.confirmedAt, this->state.startedAt))),
            gauge("bergamotweir_loop_delay_seconds",
                  "Longest delay of a timer of the event loop within the last second.",
                  seconds(this->loopMonitor.maxDelay())),
            gauge("bergamotweir_lease_valid",
                  "1 while this agent may give orders to its upstreams.",
                  agent::isValidAt(this->state.lease, BootClock::now()) ? 1 : 0),
            gauge("bergamotweir_table_version",
                  "Table version that this agent acts on.",
                  static_cast<double>(this->state.map.tableVersion)),
            gauge("bergamotweir_requests_in_progress",
                  "Requests that this agent has not answered yet.",
                  static_cast<double>(this->runner->inProgress())),
            load,
            inProgress};
}

void AgentProcess::stop()
{
    if (this->state.stopping) {
        return;
    }
    Log.info("stopping: leaving the routing");
    this->state.stopping = true;
    this->stopStartedAt = BootClock::now();
    for (const auto &[name, upstream] : this->upstreams) {
        this->control->sendReport(upstream->info());
    }
    this->rebuildCandidates();
    this->loop.every(StopInterval, [this] {
        this->continueStop();
    });
}

/** @return whether control has reassigned every slice and reports no upstream of this agent as serving */
bool AgentProcess::isOutOfRouting() const
{
    const auto isOwned = [&](const auto &service) {
        return std::any_of(service.second.begin(), service.second.end(), [&](const agent::Slice &slice) {
            return this->state.ownership.ownUpstreams.contains(slice.owner);
        });
    };
    const bool serving = std::any_of(
        this->state.ownership.ownUpstreams.begin(), this->state.ownership.ownUpstreams.end(), [&](std::uint32_t id) {
            const wire::UpstreamInfo *known = agent::findUpstream(this->state.map, id);
            return known != nullptr && known->serving();
        });
    return !serving && std::none_of(this->state.map.slices.begin(), this->state.map.slices.end(), isOwned);
}

void AgentProcess::continueStop()
{
    if (this->callers == nullptr) {
        return;
    }
    const BootTime now = BootClock::now();
    const auto stoppingFor = now - this->stopStartedAt;
    if (this->outOfRoutingAt == BootTime()
        && (this->isOutOfRouting() || stoppingFor > this->state.settings.maxHandoverTime)) {
        Log.info(this->isOutOfRouting() ? "stopping: out of the routing" : "stopping: control not reached");
        this->outOfRoutingAt = now;
    }
    if (this->outOfRoutingAt == BootTime() || now - this->outOfRoutingAt < ForwardDrainTime) {
        return;
    }
    // Callers are served up to this point: requests that this agent's upstreams can't take are forwarded to others.
    this->callers->stopAccepting();
    this->peers->stopAccepting();
    std::size_t inProgress = this->runner->inProgress() + this->callers->inProgress() + this->peers->inProgress();
    for (const auto &[name, upstream] : this->upstreams) {
        inProgress += upstream->inProgress();
    }
    const auto overdue = stoppingFor - this->state.settings.maxStopTime;
    if (inProgress > 0 && overdue > milliseconds(0) && !std::exchange(this->hasExpiredRequests, true)) {
        Log.info("stopping: " + std::to_string(inProgress) + " requests in progress are ended");
        this->runner->expireAll();
        return;
    }
    if (inProgress == 0 || overdue > MaxFinalWriteTime) {
        Log.info("stopped, " + std::to_string(inProgress) + " requests in progress");
        // Closing the servers here, before everything else, ends each connection between two requests. Otherwise
        // requests that arrive during the rest of the shutdown, a fraction of a second, would be accepted but never
        // read, and their connections would end without an answer.
        this->callers.reset();
        this->peers.reset();
        this->loop.stop();
    }
}

} // namespace bergamotweir::process
