#include "process/AgentProcess.h"

#include "loop/Log.h"
#include "net/Problem.h"
#include "report/BurnReport.h"
#include "report/Metric.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bergamotweir::process {

namespace {

using std::chrono::milliseconds;

/** Upstreams beside one agent; more announcements are refused. */
constexpr std::size_t MaxUpstreams = 8;
constexpr milliseconds StopInterval{20};
/** After the routing has left this agent out everywhere, forwarded requests may still be on their way. */
constexpr milliseconds ForwardsOnTheirWay{300};
/** A stop takes no longer, whatever is still in progress. */
constexpr std::chrono::seconds LongestStop{20};
/** Control that can't be reached is not waited for longer: the lease ends by itself. */
constexpr std::chrono::seconds LongestHandOver{8};
constexpr std::size_t MaxAnnouncement = 16384;

constexpr loop::Log Log("agent");

std::uint64_t chooseSeed(const AgentSettings &settings)
{
    if (settings.seed != 0) {
        return settings.seed;
    }
    return static_cast<std::uint64_t>(BootClock::now().time_since_epoch().count())
           ^ std::hash<std::string>()(settings.agentName);
}

/** Binds one server; what went wrong is added to the findings with the flag's name. */
std::unique_ptr<net::HttpServer> bindServer(loop::EventLoop &loop,
                                            const net::HttpServerSettingsBuilder &builder,
                                            const char *flag,
                                            net::HttpServer::Handler handler,
                                            Findings &findings)
{
    const Result<net::HttpServerSettings> settings = builder.build();
    if (!settings) {
        findings.insert(findings.end(), settings.error().begin(), settings.error().end());
        return nullptr;
    }
    auto server = net::HttpServer::listen(loop, settings.value(), std::move(handler));
    if (!server) {
        for (const Finding &finding : server.error()) {
            findings.push_back({flag, finding.message, finding.remedy});
        }
        return nullptr;
    }
    return std::move(server).value();
}

/** Forgets the health of upstreams that are no candidates any more. */
void forgetOthers(ServiceState &service)
{
    std::erase_if(service.routing.health, [&](const auto &entry) {
        return std::none_of(
            service.candidates.begin(), service.candidates.end(), [&](const agent::Candidate &candidate) {
                return candidate.upstream == entry.first;
            });
    });
}

report::Outcome outcomeOf(const RequestEndNote &note)
{
    constexpr int FirstServerError = 500;
    constexpr int UpstreamFailed = 502;
    constexpr int DeadlinePassed = 504;
    if (!note.refused) {
        return note.status >= FirstServerError ? report::Outcome::Failed : report::Outcome::Answered;
    }
    const bool failed = note.status == UpstreamFailed || note.status == DeadlinePassed;
    return failed ? report::Outcome::Failed : report::Outcome::Refused;
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
{
    this->state.settings = settings;
    this->state.random.seed(chooseSeed(settings));
    this->state.startedAt = BootClock::now();
    this->burn.start = this->state.startedAt;
    const std::uint64_t start = (static_cast<std::uint64_t>(this->state.random()) << 32U) | this->state.random();
    this->state.incarnation = std::to_string(start);
}

AgentProcess::~AgentProcess() = default;

Findings AgentProcess::listen()
{
    const AgentSettings &settings = this->state.settings;
    Findings findings;
    const auto on = [&](const std::string &address, std::uint16_t port) {
        return net::HttpServerSettingsBuilder().address(address).port(port);
    };
    this->callers = bindServer(
        this->loop,
        on(settings.address, settings.callerPort),
        "--caller-port",
        [this](const std::shared_ptr<net::Exchange> &exchange) {
            this->runner->accept(exchange, Origin::Caller);
        },
        findings);
    this->peers = bindServer(
        this->loop,
        on(settings.address, settings.peerPort),
        "--peer-port",
        [this](const std::shared_ptr<net::Exchange> &exchange) {
            this->runner->accept(exchange, Origin::Peer);
        },
        findings);
    this->announcements = bindServer(
        this->loop,
        on("127.0.0.1", settings.announcePort).maxBodyBytes(MaxAnnouncement),
        "--announce-port",
        [this](const std::shared_ptr<net::Exchange> &exchange) {
            this->announce(exchange);
        },
        findings);
    this->operators = bindServer(
        this->loop,
        on(settings.address, settings.operatorPort),
        "--operator-port",
        [this](const std::shared_ptr<net::Exchange> &exchange) {
            this->answerOperator(exchange);
        },
        findings);
    return findings;
}

void AgentProcess::connect()
{
    const std::string address = this->state.settings.address + ":";
    this->state.peerAddress = address + std::to_string(this->peers->port());
    this->state.operatorAddress = address + std::to_string(this->operators->port());
    ControlLinkEvents events;
    events.stateChanged = [this] {
        this->stateChanged();
    };
    events.revoked = [this](const wire::Revoke &order) {
        for (const auto &[name, upstream] : this->upstreams) {
            upstream->sendRevoke(order);
        }
    };
    events.renewed = [this] {
        this->sendGrants();
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
    needs.ended = [this](const RequestEndNote &note) {
        this->requestEnded(note);
    };
    this->runner = std::make_unique<RequestRunner>(this->loop, this->state, std::move(needs));
    Log.info(this->state.settings.agentName + ": callers on port " + std::to_string(this->callers->port())
             + ", peers on " + std::to_string(this->peers->port()) + ", announcements on "
             + std::to_string(this->announcements->port()) + ", operators on "
             + std::to_string(this->operators->port()));
}

void AgentProcess::announce(const std::shared_ptr<net::Exchange> &exchange)
{
    const net::HttpRequest &request = exchange->request();
    if (request.method != "POST" || request.target != "/announce") {
        exchange->answer(net::problem(404, "not found", "announce with POST /announce", net::RequestRan::No));
        return;
    }
    const Result<Announcement> announcement = parseAnnouncement(request.body);
    if (!announcement) {
        exchange->answer(net::problem(400, "bad announcement", toText(announcement.error()), net::RequestRan::No));
        return;
    }
    const auto found = this->upstreams.find({announcement.value().service, announcement.value().name});
    if (found != this->upstreams.end()) {
        found->second->announced(announcement.value());
    } else if (this->upstreams.size() >= MaxUpstreams) {
        exchange->answer(net::problem(429, "too many upstreams", "this agent has 8 upstreams", net::RequestRan::No));
        return;
    } else {
        this->addUpstream(announcement.value());
    }
    exchange->answer(textAnswer(200, "application/json", "{}"));
}

void AgentProcess::addUpstream(const Announcement &announcement)
{
    const UpstreamName name{announcement.service, announcement.name};
    LocalUpstreamEvents events;
    events.changed = [this, name] {
        this->control->tell(this->upstreams.at(name)->info());
        this->rebuildCandidates();
        // A crash ends the work on slices that were being moved.
        this->control->tellReleased();
        this->sendGrants();
    };
    events.crashed = [this](const wire::ReportCrash &report) {
        this->control->tell(report);
    };
    events.workEnded = [this] {
        this->control->tellReleased();
    };
    events.decided = [this](agent::TicketId ticket, bool admitted) {
        this->runner->gateDecided(ticket, admitted);
    };
    auto upstream = std::make_unique<LocalUpstream>(this->loop, this->state, announcement, std::move(events));
    Log.info(announcement.name + ": announced for " + announcement.service);
    this->control->tell(upstream->info());
    this->upstreams.emplace(name, std::move(upstream));
    this->rebuildCandidates();
}

void AgentProcess::stateChanged()
{
    report::setObjectives(this->burn, this->state.table);
    for (const auto &[name, upstream] : this->upstreams) {
        upstream->applyTable();
    }
    this->rebuildCandidates();
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
        const bool localReady =
            local == nullptr || (local->status() == UpstreamStatus::Serving && !this->state.stopping);
        if (!agent::isInService(this->state.map, upstream) || !policy.inService || policy.weight <= 0 || !localReady) {
            continue;
        }
        const bool localDomain = upstream.failure_domain() == this->state.settings.failureDomain;
        this->state.services[upstream.service()].candidates.push_back({id, policy.weight, localDomain});
    }
    for (auto &entry : this->state.services) {
        forgetOthers(entry.second);
    }
}

void AgentProcess::sendGrants()
{
    for (const auto &[name, upstream] : this->upstreams) {
        upstream->sendGrants();
    }
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

void AgentProcess::requestEnded(const RequestEndNote &note)
{
    const wire::UpstreamInfo *upstream = agent::findUpstream(this->state.map, note.upstream);
    report::RequestEnd end;
    end.service = note.service;
    end.upstream = upstream == nullptr ? "" : upstream->name();
    end.failureDomain = upstream == nullptr ? "" : upstream->failure_domain();
    end.outcome = outcomeOf(note);
    end.latency = note.latency;
    report::record(this->burn, end, BootClock::now());
}

void AgentProcess::answerOperator(const std::shared_ptr<net::Exchange> &exchange)
{
    const std::string &target = exchange->request().target;
    if (target == "/healthz") {
        exchange->answer(textAnswer(200, "application/json", this->healthJson()));
    } else if (target == "/metrics") {
        exchange->answer(textAnswer(200, "text/plain; version=0.0.4", this->metrics()));
    } else if (target == "/burn?json" || target == "/burn") {
        const report::BurnReport burned = report::makeReport(this->burn, BootClock::now());
        const bool json = target == "/burn?json";
        exchange->answer(textAnswer(200,
                                    json ? "application/json" : "text/plain; charset=utf-8",
                                    json ? report::toJson(burned) : report::toText(burned)));
    } else {
        exchange->answer(net::problem(404, "not found", "/healthz, /metrics, /burn", net::RequestRan::No));
    }
}

std::string AgentProcess::healthJson() const
{
    nlohmann::json health = {{"agent", this->state.settings.agentName},
                             {"control_session", this->control->isOpen()},
                             {"lease", agent::holds(this->state.lease, BootClock::now())},
                             {"table_version", this->state.map.tableVersion},
                             {"in_progress", this->runner->inProgress()},
                             {"stopping", this->state.stopping}};
    for (const auto &[name, upstream] : this->upstreams) {
        health["upstreams"].push_back({{"service", name.first},
                                       {"name", name.second},
                                       {"serving", upstream->status() == UpstreamStatus::Serving},
                                       {"in_progress", upstream->inProgress()},
                                       {"load", upstream->load()}});
    }
    return health.dump();
}

std::string AgentProcess::metrics() const
{
    std::vector<report::Metric> metrics = report::burnMetrics(report::makeReport(this->burn, BootClock::now()));
    report::Metric load{.name = "bergamotweir_upstream_load",
                        .help = "Requests in progress and waiting over those allowed.",
                        .type = report::MetricType::Gauge,
                        .samples = {}};
    for (const auto &[name, upstream] : this->upstreams) {
        load.samples.push_back({{{"service", name.first}, {"upstream", name.second}}, upstream->load()});
    }
    metrics.push_back(std::move(load));
    return report::toPrometheus(metrics);
}

void AgentProcess::stop()
{
    if (this->state.stopping) {
        return;
    }
    Log.info("stopping: leaving the routing");
    this->state.stopping = true;
    this->stoppingSince = BootClock::now();
    for (const auto &[name, upstream] : this->upstreams) {
        this->control->tell(upstream->info());
    }
    this->rebuildCandidates();
    this->loop.every(StopInterval, [this] {
        this->stopStep();
    });
}

/** @return whether control has taken every slice away and told everybody not to route here */
bool AgentProcess::hasLeft() const
{
    const auto owned = [&](const auto &service) {
        return std::any_of(service.second.begin(), service.second.end(), [&](const agent::Slice &slice) {
            return this->state.ownership.ownUpstreams.contains(slice.owner);
        });
    };
    const bool serving = std::any_of(
        this->state.ownership.ownUpstreams.begin(), this->state.ownership.ownUpstreams.end(), [&](std::uint32_t id) {
            const wire::UpstreamInfo *known = agent::findUpstream(this->state.map, id);
            return known != nullptr && known->serving();
        });
    return !serving && std::none_of(this->state.map.slices.begin(), this->state.map.slices.end(), owned);
}

void AgentProcess::stopStep()
{
    const BootTime now = BootClock::now();
    const auto stoppingFor = now - this->stoppingSince;
    if (this->leftSince == BootTime() && (this->hasLeft() || stoppingFor > LongestHandOver)) {
        Log.info(this->hasLeft() ? "stopping: out of the routing" : "stopping: control not reached");
        this->leftSince = now;
    }
    if (this->leftSince == BootTime() || now - this->leftSince < ForwardsOnTheirWay) {
        return;
    }
    // Callers are served until here: what the agent beside them can't answer, others do.
    this->callers->stopAccepting();
    this->peers->stopAccepting();
    std::size_t inProgress = this->runner->inProgress();
    for (const auto &[name, upstream] : this->upstreams) {
        inProgress += upstream->inProgress();
    }
    if (inProgress == 0 || stoppingFor > LongestStop) {
        Log.info("stopped, " + std::to_string(inProgress) + " requests in progress");
        this->loop.stop();
    }
}

} // namespace bergamotweir::process
