#pragma once

#include "agent/Gate.h"
#include "agent/RequestStep.h"
#include "agent/RetryBudget.h"
#include "agent/Router.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <vector>

namespace bergamotweir::bench {

using namespace std::chrono_literals;
using std::chrono::nanoseconds;

/** What one run compares. */
struct Policy {
    const char *name = "";
    agent::ChoicePolicy choice = agent::ChoicePolicy::TwoChoices;
    bool adaptive = true;
    bool retryBudget = true;
    bool hedging = true;
};

/** A spell in which an upstream is slower. */
struct Slowness {
    unsigned upstream = 0;
    BootTime from;
    BootTime until;
    double factor = 10;
};

/** One service, its upstreams and its callers, in virtual time. */
struct Scenario {
    unsigned upstreams = 4;
    unsigned slots = 12;
    unsigned entryAgents = 11;
    nanoseconds service{4ms};
    nanoseconds oneWay{500us};
    nanoseconds deadline{1s};
    /** Requests per second at a time. */
    std::function<double(BootTime)> rate;
    nanoseconds length{15s};
    std::vector<double> weights;
    std::vector<Slowness> slownesses;
    /** Upstream 0 starts cold at this time: three slots, three times as slow, until so many answers. */
    BootTime coldAt = BootTime::max();
    unsigned coldAnswers = 2000;
    /** Answers carry a load of 0, whatever the load is. */
    bool lyingLoad = false;
    std::uint64_t seed = 1;
};

/** What a run measured. */
struct Outcome {
    std::vector<double> latencies;
    unsigned long offered = 0;
    unsigned long answered = 0;
    unsigned long refused = 0;
    unsigned long expired = 0;
    unsigned long sent = 0;
    std::vector<unsigned long> shares;
    /** Answers per whole second. */
    std::map<long, unsigned long> goodput;
    /** Most requests at once in the cold upstream, as a multiple of what it can bear. */
    double coldCrowding = 0;

    double quantile(double part)
    {
        if (this->latencies.empty()) {
            return 0;
        }
        const auto place = static_cast<std::size_t>(part * static_cast<double>(this->latencies.size() - 1));
        std::nth_element(this->latencies.begin(),
                         this->latencies.begin() + static_cast<std::ptrdiff_t>(place),
                         this->latencies.end());
        return this->latencies[place];
    }
};

/** Carries out the core's decisions against upstreams with slots and exponential service times. */
class RequestModel
{
public:
    RequestModel(const Policy &policy, const Scenario &scenario)
        : policy(policy)
        , scenario(scenario)
        , random(scenario.seed)
        , agents(scenario.entryAgents)
        , servers(scenario.upstreams)
    {
        this->summary.shares.resize(scenario.upstreams);
        for (Server &server : this->servers) {
            agent::GateSettingsBuilder builder;
            const unsigned ceiling = policy.adaptive ? scenario.slots : MostConnections;
            builder.ceiling(ceiling).adaptive(policy.adaptive).queueLength(policy.adaptive ? 64 : 1000);
            builder.maxWait(policy.adaptive ? 250ms : 10000ms);
            server.gate = agent::makeGate(builder.build().value(), BootTime());
            server.gate.limit.limit = ceiling;
        }
        for (Agent &entry : this->agents) {
            entry.routing.policy = policy.choice;
            entry.hedges.ratio = 0.03;
            entry.hedges.tokens = policy.hedging ? 5 : 0;
        }
        for (unsigned id = 1; id <= scenario.upstreams; id++) {
            const double weight = scenario.weights.empty() ? 1 : scenario.weights[id - 1];
            this->candidates.push_back({id, weight, false});
        }
    }

    Outcome run()
    {
        this->at(this->now, [this] {
            this->arrival();
        });
        if (this->scenario.coldAt != BootTime::max()) {
            this->at(this->scenario.coldAt, [this] {
                this->turnCold();
            });
        }
        while (!this->events.empty()) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.time;
            event.task();
        }
        return std::move(this->summary);
    }

private:
    static constexpr unsigned MostConnections = 126;
    static constexpr unsigned ColdSlots = 3;
    static constexpr double ColdFactor = 3;

    struct Event {
        BootTime time;
        unsigned long order;
        std::function<void()> task;

        bool operator<(const Event &other) const
        {
            return std::tie(other.time, other.order) < std::tie(this->time, this->order);
        }
    };

    struct Agent {
        agent::ServiceRouting routing;
        agent::RetryBudget retries;
        agent::RetryBudget hedges;
    };

    struct Attempt {
        std::uint32_t upstream = 0;
        BootTime sentAt;
        unsigned long ticket = 0;
        bool ended = false;
    };

    struct Request {
        agent::RequestState state;
        Agent *entry = nullptr;
        BootTime arrivedAt;
        std::map<unsigned, Attempt> attempts;
    };

    /** An upstream behind its gate: slots, and a queue of its own for what the gate lets through beyond them. */
    struct Server {
        agent::Gate gate;
        std::map<unsigned long, BootTime> working;
        std::deque<unsigned long> inside;
        unsigned coldLeft = 0;
        /** When the gate is looked at next. */
        BootTime wakeAt;
    };

    struct Ticket {
        std::weak_ptr<Request> request;
        unsigned attempt = 0;
        unsigned server = 0;
        BootTime dispatchedAt;
        bool cancelled = false;
    };

    void at(BootTime time, std::function<void()> task)
    {
        this->events.push({time, this->lastOrder++, std::move(task)});
    }

    double uniform()
    {
        return (static_cast<double>(this->random()) + 1) / 4294967297.0;
    }

    void arrival()
    {
        if (this->now >= BootTime(this->scenario.length)) {
            return;
        }
        const auto gap =
            nanoseconds(static_cast<long>(-std::log(this->uniform()) / this->scenario.rate(this->now) * 1e9));
        this->at(this->now + gap, [this] {
            this->arrival();
        });
        auto request = std::make_shared<Request>();
        request->entry = &this->agents[this->random(static_cast<std::uint32_t>(this->agents.size()))];
        request->arrivedAt = this->now;
        request->state.facts.service = "catalogue";
        request->state.facts.method = "GET";
        request->state.facts.deadline = this->now + this->scenario.deadline;
        this->summary.offered++;
        this->at(request->state.facts.deadline, [this, request] {
            this->handle(request, {.kind = agent::EventKind::DeadlinePassed});
        });
        this->handle(request, {.kind = agent::EventKind::Accepted});
    }

    void handle(const std::shared_ptr<Request> &request, const agent::RequestEvent &event)
    {
        if (!this->policy.retryBudget) {
            request->entry->retries.tokens = 10;
        }
        const agent::RequestContext context{&request->entry->retries, &request->entry->hedges, &this->random};
        for (const agent::RequestAction &action : agent::step(request->state, event, this->now, context)) {
            this->perform(request, action);
        }
        if (!this->policy.hedging) {
            request->entry->hedges.tokens = 0;
        }
    }

    void perform(const std::shared_ptr<Request> &request, const agent::RequestAction &action)
    {
        switch (action.kind) {
        case agent::ActionKind::Route: {
            const std::uint32_t upstream =
                agent::choose(request->entry->routing, this->candidates, request->state.tried, this->random, this->now);
            this->at(this->now, [this, request, upstream] {
                this->handle(request, {.kind = agent::EventKind::Routed, .upstream = upstream});
            });
            break;
        }
        case agent::ActionKind::Wait:
            this->at(this->now + action.delay, [this, request] {
                this->handle(request, {.kind = agent::EventKind::Woken});
            });
            break;
        case agent::ActionKind::Forward:
            this->forward(request, action);
            break;
        case agent::ActionKind::Cancel:
            this->cancel(request, action.attempt);
            break;
        case agent::ActionKind::ArmHedge:
            this->at(this->now + request->entry->routing.hedgeDelay, [this, request] {
                this->handle(request, {.kind = agent::EventKind::HedgeDue});
            });
            break;
        case agent::ActionKind::Relay:
            this->answered(*request);
            break;
        case agent::ActionKind::Refuse:
            (action.refusal.status == 504 ? this->summary.expired : this->summary.refused)++;
            break;
        default:
            break;
        }
    }

    void answered(const Request &request)
    {
        this->summary.answered++;
        this->summary.latencies.push_back(
            std::chrono::duration<double, std::milli>(this->now - request.arrivedAt).count());
        this->summary.goodput[this->now.time_since_epoch() / 1s]++;
    }

    void forward(const std::shared_ptr<Request> &request, const agent::RequestAction &action)
    {
        this->summary.sent++;
        const unsigned long ticket = ++this->lastTicket;
        request->attempts[action.attempt] = {action.upstream, this->now, ticket, false};
        agent::recordSent(request->entry->routing, action.upstream, this->now);
        this->tickets[ticket] = {request, action.attempt, action.upstream - 1, {}, false};
        this->at(this->now + this->scenario.oneWay, [this, ticket] {
            this->reachGate(ticket);
        });
    }

    void reachGate(unsigned long ticket)
    {
        const Ticket &entry = this->tickets.at(ticket);
        const auto request = entry.request.lock();
        if (entry.cancelled || !request) {
            return;
        }
        Server &server = this->servers[entry.server];
        const auto admission = agent::requestAdmission(server.gate, {ticket, request->state.facts.deadline}, this->now);
        if (admission == agent::Admission::Admitted) {
            this->dispatch(ticket);
        } else if (admission != agent::Admission::Queued) {
            this->reply(ticket, agent::AttemptOutcome::Overloaded, false);
        }
        this->wakeQueue(entry.server);
    }

    void dispatch(unsigned long ticket)
    {
        Ticket &entry = this->tickets.at(ticket);
        entry.dispatchedAt = this->now;
        Server &server = this->servers[entry.server];
        if (server.coldLeft > 0) {
            const double crowding = static_cast<double>(server.working.size() + server.inside.size() + 1) / ColdSlots;
            this->summary.coldCrowding = std::max(this->summary.coldCrowding, crowding);
        }
        this->summary.shares[entry.server]++;
        server.inside.push_back(ticket);
        this->work(entry.server);
    }

    /** Starts what the upstream has free slots for. */
    void work(unsigned index)
    {
        Server &server = this->servers[index];
        const unsigned slots = server.coldLeft > 0 ? ColdSlots : this->scenario.slots;
        while (!server.inside.empty() && server.working.size() < slots) {
            const unsigned long ticket = server.inside.front();
            server.inside.pop_front();
            const BootTime end = this->now + this->serviceTime(index);
            server.working[ticket] = end;
            this->at(end, [this, ticket, index] {
                this->complete(ticket, index);
            });
        }
    }

    nanoseconds serviceTime(unsigned index)
    {
        double factor = 0.5 - 0.5 * std::log(this->uniform());
        for (const Slowness &spell : this->scenario.slownesses) {
            if (spell.upstream == index && this->now >= spell.from && this->now < spell.until) {
                factor *= spell.factor;
            }
        }
        if (this->servers[index].coldLeft > 0) {
            factor *= ColdFactor;
        }
        return nanoseconds(static_cast<long>(factor * static_cast<double>(this->scenario.service.count())));
    }

    void complete(unsigned long ticket, unsigned index)
    {
        Server &server = this->servers[index];
        if (server.working.erase(ticket) == 0) {
            return;
        }
        if (server.coldLeft > 0) {
            server.coldLeft--;
        }
        this->reply(ticket, agent::AttemptOutcome::Answered, true);
        this->leaveServer(ticket, index, agent::WorkOutcome::Answered);
    }

    void leaveServer(unsigned long ticket, unsigned index, agent::WorkOutcome outcome)
    {
        const nanoseconds latency = this->now - this->tickets.at(ticket).dispatchedAt;
        agent::finish(this->servers[index].gate, outcome, latency, this->now);
        this->work(index);
        this->wakeQueue(index);
    }

    void wakeQueue(unsigned index)
    {
        Server &server = this->servers[index];
        const agent::GateDecisions moves = agent::processQueue(server.gate, this->now);
        for (const agent::TicketId ticket : moves.shed) {
            this->reply(ticket, agent::AttemptOutcome::Overloaded, false);
        }
        for (const agent::TicketId ticket : moves.admitted) {
            this->dispatch(ticket);
        }
        const BootTime next = agent::nextDispatchAt(server.gate);
        if (next == BootTime::max() || next <= this->now || server.wakeAt == next) {
            return;
        }
        server.wakeAt = next;
        this->at(next, [this, index, next] {
            if (this->servers[index].wakeAt == next) {
                this->wakeQueue(index);
            }
        });
    }

    void reply(unsigned long ticket, agent::AttemptOutcome outcome, bool mayHaveRun)
    {
        const Ticket entry = this->tickets.at(ticket);
        if (entry.cancelled) {
            return;
        }
        const double load = this->scenario.lyingLoad ? 0 : agent::load(this->servers[entry.server].gate);
        this->at(this->now + this->scenario.oneWay, [this, entry, outcome, mayHaveRun, load] {
            if (const auto request = entry.request.lock()) {
                this->replied(request, entry.attempt, outcome, mayHaveRun, load);
            }
        });
    }

    void replied(const std::shared_ptr<Request> &request,
                 unsigned id,
                 agent::AttemptOutcome outcome,
                 bool mayHaveRun,
                 double load)
    {
        Attempt &attempt = request->attempts.at(id);
        if (std::exchange(attempt.ended, true)) {
            return;
        }
        if (outcome == agent::AttemptOutcome::Answered) {
            agent::recordAnswered(
                request->entry->routing, attempt.upstream, this->now - attempt.sentAt, load, this->now);
        } else {
            agent::recordShed(request->entry->routing, attempt.upstream, this->now);
        }
        this->handle(
            request,
            {.kind = agent::EventKind::AttemptEnded, .attempt = id, .outcome = outcome, .mayHaveRun = mayHaveRun});
    }

    void cancel(const std::shared_ptr<Request> &request, unsigned id)
    {
        Attempt &attempt = request->attempts.at(id);
        attempt.ended = true;
        agent::recordCancelled(request->entry->routing, attempt.upstream, this->now - attempt.sentAt, this->now);
        const unsigned long ticket = attempt.ticket;
        this->at(this->now + this->scenario.oneWay, [this, ticket] {
            this->cancelAtServer(ticket);
        });
    }

    void cancelAtServer(unsigned long ticket)
    {
        Ticket &entry = this->tickets.at(ticket);
        entry.cancelled = true;
        Server &server = this->servers[entry.server];
        if (agent::cancelQueued(server.gate, ticket)) {
            return;
        }
        const auto waiting = std::find(server.inside.begin(), server.inside.end(), ticket);
        if (waiting != server.inside.end()) {
            server.inside.erase(waiting);
        } else if (server.working.erase(ticket) == 0) {
            return;
        }
        this->leaveServer(ticket, entry.server, agent::WorkOutcome::Lost);
    }

    void turnCold()
    {
        this->servers[0].coldLeft = this->scenario.coldAnswers;
        agent::restart(this->servers[0].gate, this->now);
    }

    Policy policy;
    Scenario scenario;
    pcg32 random;
    BootTime now;
    std::priority_queue<Event> events;
    unsigned long lastOrder = 0;
    unsigned long lastTicket = 0;
    std::vector<Agent> agents;
    std::vector<Server> servers;
    std::vector<agent::Candidate> candidates;
    std::map<unsigned long, Ticket> tickets;
    Outcome summary;
};

/** @return requests per second that the upstreams can bear when warm */
inline double capacity(const Scenario &scenario)
{
    return scenario.upstreams * scenario.slots / std::chrono::duration<double>(scenario.service).count();
}

} // namespace bergamotweir::bench
