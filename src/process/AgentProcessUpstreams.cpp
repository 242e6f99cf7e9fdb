#include "agent/HoldEnd.h"
#include "loop/Log.h"
#include "net/Problem.h"
#include "process/AgentProcess.h"
#include "process/AgentProtocol.h"

#include <algorithm>
#include <limits>

namespace bergamotweir::process {

namespace {

/** Maximum number of upstreams beside one agent; announcements of more are refused. */
constexpr std::size_t MaxUpstreams = 8;
/** Maximum delay of the answer to a heartbeat; upstreams wait for a second. */
constexpr std::chrono::milliseconds MaxHeartbeatDelay{600};

/** Maximum delay of a deregistration: the next process of the instance may report before it arrives. */
constexpr std::chrono::seconds MaxDeregistrationDelay{10};

constexpr loop::Log Log("agent");

agent::ProcessIdentity identityOf(const Announcement &announcement)
{
    return {.service = announcement.service,
            .instance = announcement.instance,
            .address = announcement.address,
            .startedAt = announcement.startedAt};
}

} // namespace

void AgentProcess::handleAnnouncement(const std::shared_ptr<net::Exchange> &exchange)
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
        found->second->applyAnnouncement(announcement.value());
    } else if (this->upstreams.size() >= MaxUpstreams) {
        exchange->answer(net::problem(429, "too many upstreams", "this agent has 8 upstreams", net::RequestRan::No));
        return;
    } else {
        this->addUpstream(announcement.value());
    }
    exchange->answer({200, {{"Content-Type", "application/json"}}, "{}"});
}

void AgentProcess::handleHeartbeat(const std::shared_ptr<net::Exchange> &exchange)
{
    const Result<Heartbeat> read = this->state.protocol->readHeartbeat(exchange->request());
    if (!read) {
        Log.warn("malformed heartbeat: " + toText(read.error()));
        exchange->answer(net::problem(400, "bad heartbeat", toText(read.error()), net::RequestRan::No));
        return;
    }
    const Heartbeat &heartbeat = read.value();
    if (heartbeat.isDeregistration) {
        this->handleDeregistration(exchange, heartbeat.announcement.instance);
        return;
    }
    if (const std::string refusal = this->refusalOf(heartbeat); !refusal.empty()) {
        Log.warn(heartbeat.announcement.name + ": heartbeat refused: " + refusal);
        exchange->answer(net::problem(400, "bad heartbeat", refusal, net::RequestRan::No));
        return;
    }
    const std::string &expected = this->state.settings.upstreamAddress;
    const bool isFromElsewhere = !expected.empty() && heartbeat.announcement.address != expected;
    if (isFromElsewhere || this->senderOf(heartbeat.announcement) == agent::HeartbeatSender::Earlier) {
        Log.warn(heartbeat.announcement.name + ": heartbeat ignored: unexpected address, or an earlier process");
        exchange->answer(this->state.protocol->answerHeartbeat({}));
        return;
    }
    if (this->mustAnswerAtAddress(heartbeat.announcement)) {
        this->checkInstance(exchange, heartbeat);
        return;
    }
    this->acceptHeartbeat(exchange, heartbeat, {});
}

void AgentProcess::handleDeregistration(const std::shared_ptr<net::Exchange> &exchange, const std::string &instance)
{
    LocalUpstream *const upstream = this->findByInstance(instance);
    const auto restarted = this->restartedInstances.find(instance);
    const bool mayBeLate =
        restarted != this->restartedInstances.end() && BootClock::now() - restarted->second < MaxDeregistrationDelay;
    if (upstream == nullptr || !mayBeLate) {
        this->deregister(instance);
        exchange->answer(this->state.protocol->answerHeartbeat({}));
        return;
    }
    this->instanceCheck->ask(upstream->announcement(), [this, exchange, instance](const InstanceAnswer &answer) {
        if (answer.isHealthy && answer.instance == instance) {
            Log.warn(instance + ": deregistration of an earlier process ignored");
        } else {
            this->deregister(instance);
        }
        exchange->answer(this->state.protocol->answerHeartbeat({}));
    });
}

void AgentProcess::deregister(const std::string &instance)
{
    if (LocalUpstream *const upstream = this->findByInstance(instance); upstream != nullptr) {
        Heartbeat heartbeat;
        heartbeat.announcement = upstream->announcement();
        heartbeat.isDraining = true;
        heartbeat.isDeregistration = true;
        heartbeat.sequence = std::numeric_limits<std::uint64_t>::max();
        upstream->applyHeartbeat(heartbeat);
    }
}

void AgentProcess::acceptHeartbeat(const std::shared_ptr<net::Exchange> &exchange,
                                   const Heartbeat &heartbeat,
                                   const std::string &answeringInstance)
{
    if (this->senderOf(heartbeat.announcement) == agent::HeartbeatSender::LaterLife) {
        this->restartedInstances[heartbeat.announcement.instance] = BootClock::now();
    }
    this->newestProcesses[heartbeat.announcement.address] = identityOf(heartbeat.announcement);
    LocalUpstream *upstream = nullptr;
    const auto found = this->upstreams.find({heartbeat.announcement.service, heartbeat.announcement.name});
    if (found == this->upstreams.end()) {
        this->retireReplaced(heartbeat.announcement, answeringInstance);
        upstream = &this->addUpstream(heartbeat.announcement);
    } else {
        upstream = found->second.get();
    }
    const HeartbeatAnswer answer = upstream->applyHeartbeat(heartbeat);
    if (upstream->awaitsFirstKeys(heartbeat, answer)) {
        this->holdHeartbeat({heartbeat.announcement.service, heartbeat.announcement.name}, exchange, heartbeat);
        return;
    }
    exchange->answer(this->state.protocol->answerHeartbeat(answer));
}

bool AgentProcess::mustAnswerAtAddress(const Announcement &announcement) const
{
    const agent::ProcessIdentity sender = identityOf(announcement);
    const bool succeedsLocal = std::any_of(this->upstreams.begin(), this->upstreams.end(), [&](const auto &entry) {
        return entry.second->status() != UpstreamStatus::Crashed
               && agent::classifySender(identityOf(entry.second->announcement()), sender)
                      == agent::HeartbeatSender::Successor;
    });
    const std::set<std::uint32_t> &own = this->state.ownership.ownUpstreams;
    return succeedsLocal || std::any_of(own.begin(), own.end(), [&](std::uint32_t id) {
               const wire::UpstreamInfo &registered = *agent::findUpstream(this->state.map, id);
               return registered.serving() && registered.address() == announcement.address
                      && std::chrono::milliseconds(registered.started_unix_ms()) < announcement.startedAt
                      && !this->upstreams.contains({registered.service(), registered.name()});
           });
}

void AgentProcess::checkInstance(const std::shared_ptr<net::Exchange> &exchange, const Heartbeat &heartbeat)
{
    this->instanceCheck->ask(heartbeat.announcement, [this, exchange, heartbeat](const InstanceAnswer &answer) {
        const Announcement &announcement = heartbeat.announcement;
        const bool answers = answer.instance == announcement.instance;
        Log.event(loop::LogLevel::Info, "sender of a heartbeat asked", loop::RoutineBound)
            .with("upstream", announcement.name)
            .with("address", announcement.address)
            .with("answering", answer.instance);
        if (!answer.instance.empty() && !answers) {
            exchange->answer(
                net::problem(400, "bad heartbeat", "another instance answers at its address", net::RequestRan::No));
        } else if (this->senderOf(announcement) == agent::HeartbeatSender::Earlier
                   || (!answers && this->mayOthersHoldKeys(announcement))) {
            exchange->answer(this->state.protocol->answerHeartbeat({}));
        } else {
            this->acceptHeartbeat(exchange, heartbeat, answer.instance);
        }
    });
}

bool AgentProcess::mayOthersHoldKeys(const Announcement &announcement) const
{
    return !this->state.ownership.predecessorGrantsExpired
           || std::any_of(this->upstreams.begin(), this->upstreams.end(), [&](const auto &entry) {
                  return entry.second->announcement().address == announcement.address && entry.second->mayHoldKeys();
              });
}

void AgentProcess::addRecovered(const RecoveredUpstream &recovered)
{
    const Announcement &announcement = recovered.announcement;
    const bool isKnown = this->newestProcesses.contains(announcement.address)
                         || this->upstreams.contains({announcement.service, announcement.name});
    if (isKnown || this->state.stopping) {
        // Its heartbeat came first, or that of a process which has replaced it.
        return;
    }
    this->newestProcesses[announcement.address] = identityOf(announcement);
    this->addUpstream(announcement).recover(recovered.coldFor);
    this->sendGrants();
    this->runner->stateChanged();
}

// Guards against an upstream that stays without keys for a whole interval of its heartbeats: control assigns keys
// within a fraction of a second after the first heartbeat, but they are granted with the answer to a heartbeat only.
void AgentProcess::holdHeartbeat(const UpstreamName &name,
                                 const std::shared_ptr<net::Exchange> &exchange,
                                 Heartbeat heartbeat)
{
    this->answerHeldHeartbeat(name);
    const loop::TimerId timer = this->loop.after(MaxHeartbeatDelay, [this, name] {
        this->answerHeldHeartbeat(name);
    });
    this->heldHeartbeats[name] = {exchange, std::move(heartbeat), timer};
}

void AgentProcess::answerHeldHeartbeats()
{
    std::vector<UpstreamName> answerable;
    for (const auto &[name, held] : this->heldHeartbeats) {
        const auto upstream = this->upstreams.find(name);
        if (upstream == this->upstreams.end() || upstream->second->canGrantKeys()) {
            answerable.push_back(name);
        }
    }
    for (const UpstreamName &name : answerable) {
        this->answerHeldHeartbeat(name);
    }
}

void AgentProcess::answerHeldHeartbeat(const UpstreamName &name)
{
    const auto found = this->heldHeartbeats.find(name);
    if (found == this->heldHeartbeats.end()) {
        return;
    }
    const HeldHeartbeat held = std::move(found->second);
    this->heldHeartbeats.erase(found);
    this->loop.cancel(held.timer);
    const auto upstream = this->upstreams.find(name);
    held.exchange->answer(this->state.protocol->answerHeartbeat(
        upstream == this->upstreams.end() ? HeartbeatAnswer() : upstream->second->answerHeartbeat(held.heartbeat)));
}

bool AgentProcess::isKnownService(const std::string &service) const
{
    const table::RouteTable &routes = this->state.table.routes();
    const std::string &configured = this->state.settings.service;
    if (routes.revision() == 0) {
        return configured.empty() || service == configured;
    }
    return routes.service(service) != nullptr;
}

std::string AgentProcess::refusalOf(const Heartbeat &heartbeat) const
{
    const std::string &service = heartbeat.announcement.service;
    if (!this->isKnownService(service)) {
        return "no route or setting names the service " + service;
    }
    const table::RoutedService *const routed = this->state.table.routes().service(service);
    if (routed != nullptr && routed->listsKeysInHeartbeats() && !heartbeat.listsKeys) {
        return "held or released keys are missing";
    }
    if (this->senderOf(heartbeat.announcement) == agent::HeartbeatSender::Contradictory) {
        return "service, address or id differ from what the process has stated";
    }
    return {};
}

agent::HeartbeatSender AgentProcess::senderOf(const Announcement &announcement) const
{
    const agent::ProcessIdentity sender = identityOf(announcement);
    if (this->isEarlierThanRegistered(announcement)) {
        return agent::HeartbeatSender::Earlier;
    }
    if (const auto newest = this->newestProcesses.find(sender.address); newest != this->newestProcesses.end()) {
        return agent::classifySender(newest->second, sender);
    }
    for (const auto &[address, known] : this->newestProcesses) {
        if (agent::classifySender(known, sender) == agent::HeartbeatSender::Contradictory) {
            return agent::HeartbeatSender::Contradictory;
        }
    }
    return agent::HeartbeatSender::Unrelated;
}

// Guards against a delayed heartbeat that a restarted agent receives before it knows the process that has replaced its
// sender: keys that its predecessor had granted to that process would count as not held.
bool AgentProcess::isEarlierThanRegistered(const Announcement &announcement) const
{
    const std::set<std::uint32_t> &own = this->state.ownership.ownUpstreams;
    return std::any_of(own.begin(), own.end(), [&](std::uint32_t id) {
        const wire::UpstreamInfo &registered = *agent::findUpstream(this->state.map, id);
        const bool mayHoldKeys = registered.serving() || !this->state.ownership.predecessorGrantsExpired;
        return mayHoldKeys && registered.address() == announcement.address
               && std::chrono::milliseconds(registered.started_unix_ms()) > announcement.startedAt;
    });
}

LocalUpstream *AgentProcess::findByInstance(const std::string &instance)
{
    LocalUpstream *newest = nullptr;
    for (const auto &[name, upstream] : this->upstreams) {
        const bool isAlive = upstream->status() != UpstreamStatus::Crashed;
        if (upstream->announcement().instance == instance && (newest == nullptr || isAlive)) {
            newest = upstream.get();
        }
    }
    return newest;
}

void AgentProcess::retireReplaced(const Announcement &announcement, const std::string &answeringInstance)
{
    for (const auto &[name, upstream] : this->upstreams) {
        if (upstream->announcement().address != announcement.address || upstream->status() == UpstreamStatus::Crashed) {
            continue;
        }
        const agent::HeartbeatSender sender =
            agent::classifySender(identityOf(upstream->announcement()), identityOf(announcement));
        const std::optional<agent::HoldEnd> holdEnd =
            agent::holdEndShownByHeartbeat(sender, announcement.instance, answeringInstance);
        if (holdEnd || !upstream->mayHoldKeys()) {
            Log.info(name.second + ": replaced by " + announcement.name);
            upstream->markReplaced(holdEnd);
        }
    }
    std::erase_if(this->upstreams, [](const auto &entry) {
        return entry.second->status() == UpstreamStatus::Crashed && entry.second->inProgress() == 0;
    });
}

LocalUpstream &AgentProcess::addUpstream(const Announcement &announcement)
{
    const UpstreamName name{announcement.service, announcement.name};
    LocalUpstreamEvents events;
    events.changed = [this, name] {
        this->control->sendReport(this->upstreams.at(name)->info());
        this->rebuildCandidates();
        // A crash ends the work on revoked slices, so that these may be released now.
        this->control->reportReleased();
        this->sendGrants();
    };
    events.crashed = [this](const wire::ReportCrash &report) {
        this->control->sendReport(report);
    };
    events.heartbeatLate = [this] {
        this->metrics.heartbeatLate();
    };
    events.workEnded = [this] {
        this->control->reportReleased();
    };
    events.heldKeysChanged = [this] {
        this->control->reportReleased();
        this->runner->stateChanged();
    };
    events.decided = [this](agent::TicketId ticket, bool admitted) {
        this->runner->gateDecided(ticket, admitted);
    };
    auto upstream = std::make_unique<LocalUpstream>(this->loop, this->state, announcement, std::move(events));
    upstream->restoreLearnedLimit();
    Log.info(announcement.name + ": announced for " + announcement.service);
    this->control->sendReport(upstream->info());
    LocalUpstream &added = *this->upstreams.emplace(name, std::move(upstream)).first->second;
    added.restoreNotice();
    this->rebuildCandidates();
    return added;
}

} // namespace bergamotweir::process
