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

/** The policy of one run: routing, admission, retries and hedging. */
struct Policy {
    const char *name = "";
    agent::ChoicePolicy choice = agent::ChoicePolicy::TwoChoices;
    bool adaptive = true;
    bool retryBudget = true;
    bool hedging = true;
};

/** A period in which an upstream is slower by a factor. */
struct SlowPeriod {
    unsigned upstream = 0;
    BootTime from;
    BootTime until;
    double factor = 10;
};

/** One service with its upstreams and callers, simulated in virtual time. */
struct Scenario {
    unsigned upstreams = 4;
    unsigned slots = 12;
    unsigned entryAgents = 11;
    nanoseconds meanServiceTime{4ms};
    nanoseconds oneWayDelay{500us};
    nanoseconds deadline{1s};
    /** Requests per second as a function of time. */
    std::function<double(BootTime)> rate;
    nanoseconds runTime{15s};
    std::vector<double> weights;
    std::vector<SlowPeriod> slowPeriods;
    /** Upstream 0 starts cold at this time: it has three slots and is three times as slow for the first coldAnswers. */
    BootTime coldAt = BootTime::max();
    unsigned coldAnswers = 2000;
    /** Answers report a load of 0 instead of the actual load. */
    bool reportsZeroLoad = false;
    std::uint64_t seed = 1;
};

/** Measurements of a run; latencies in milliseconds. */
struct RunResult {
    std::vector<double> latencies;
    unsigned long offered = 0;
    unsigned long answered = 0;
    unsigned long refused = 0;
    unsigned long expired = 0;
    unsigned long sent = 0;
    std::vector<unsigned long> shares;
    /** Number of answers in each second of the run. */
    std::map<long, unsigned long> goodput;
    /** Maximum concurrent requests in the cold upstream, as a multiple of its cold slots. */
    double maxColdOverload = 0;

    double quantile(double share)
    {
        if (this->latencies.empty()) {
            return 0;
        }
        const auto rank = static_cast<std::size_t>(share * static_cast<double>(this->latencies.size() - 1));
        std::nth_element(this->latencies.begin(),
                         this->latencies.begin() + static_cast<std::ptrdiff_t>(rank),
                         this->latencies.end());
        return this->latencies[rank];
    }
};

/** Executes the decisions of the agent's core against upstreams with slots and exponential service times. */
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
        this->result.shares.resize(scenario.upstreams);
        for (Server &server : this->servers) {
            agent::GateSettingsBuilder builder;
            const unsigned ceiling = policy.adaptive ? scenario.slots : MaxConnections;
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

    RunResult run()
    {
        this->schedule(this->now, [this] {
            this->handleArrival();
        });
        if (this->scenario.coldAt != BootTime::max()) {
            this->schedule(this->scenario.coldAt, [this] {
                this->startCold();
            });
        }
        while (!this->events.empty()) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.time;
            event.task();
        }
        return std::move(this->result);
    }

private:
    static constexpr unsigned MaxConnections = 126;
    static constexpr unsigned ColdSlots = 3;
    static constexpr double ColdFactor = 3;

    struct Event {
        BootTime time;
        unsigned long sequence;
        std::function<void()> task;

        bool operator<(const Event &other) const
        {
            return std::tie(other.time, other.sequence) < std::tie(this->time, this->sequence);
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
        bool hasEnded = false;
    };

    struct Request {
        agent::RequestState state;
        Agent *entry = nullptr;
        BootTime arrivedAt;
        std::map<unsigned, Attempt> attempts;
    };

    /** An upstream behind its gate: slots, and a queue for requests that the gate admits beyond the slots. */
    struct Server {
        agent::Gate gate;
        std::map<unsigned long, BootTime> executing;
        std::deque<unsigned long> waitingForSlot;
        unsigned coldAnswersLeft = 0;
        /** When the queue of the gate is processed next. */
        BootTime nextCheckAt;
    };

    struct Ticket {
        std::weak_ptr<Request> request;
        unsigned attempt = 0;
        unsigned server = 0;
        BootTime dispatchedAt;
        bool cancelled = false;
    };

    void schedule(BootTime time, std::function<void()> task)
    {
        this->events.push({time, this->nextSequence++, std::move(task)});
    }

    double uniform()
    {
        return (static_cast<double>(this->random()) + 1) / 4294967297.0;
    }

    void handleArrival()
    {
        if (this->now >= BootTime(this->scenario.runTime)) {
            return;
        }
        const auto interval =
            nanoseconds(static_cast<long>(-std::log(this->uniform()) / this->scenario.rate(this->now) * 1e9));
        this->schedule(this->now + interval, [this] {
            this->handleArrival();
        });
        auto request = std::make_shared<Request>();
        request->entry = &this->agents[this->random(static_cast<std::uint32_t>(this->agents.size()))];
        request->arrivedAt = this->now;
        request->state.facts.service = "catalogue";
        request->state.facts.method = "GET";
        request->state.facts.deadline = this->now + this->scenario.deadline;
        this->result.offered++;
        this->schedule(request->state.facts.deadline, [this, request] {
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
            this->schedule(this->now, [this, request, upstream] {
                this->handle(request, {.kind = agent::EventKind::Routed, .upstream = upstream});
            });
            break;
        }
        case agent::ActionKind::Wait:
            this->schedule(this->now + action.delay, [this, request] {
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
            this->schedule(this->now + request->entry->routing.hedgeDelay, [this, request] {
                this->handle(request, {.kind = agent::EventKind::HedgeDue});
            });
            break;
        case agent::ActionKind::Relay:
            this->answered(*request);
            break;
        case agent::ActionKind::Refuse:
            (action.refusal.status == 504 ? this->result.expired : this->result.refused)++;
            break;
        default:
            break;
        }
    }

    void answered(const Request &request)
    {
        this->result.answered++;
        this->result.latencies.push_back(
            std::chrono::duration<double, std::milli>(this->now - request.arrivedAt).count());
        this->result.goodput[this->now.time_since_epoch() / 1s]++;
    }

    void forward(const std::shared_ptr<Request> &request, const agent::RequestAction &action)
    {
        this->result.sent++;
        const unsigned long ticket = ++this->lastTicket;
        request->attempts[action.attempt] = {action.upstream, this->now, ticket, false};
        agent::recordSent(request->entry->routing, action.upstream, this->now);
        this->tickets[ticket] = {request, action.attempt, action.upstream - 1, {}, false};
        this->schedule(this->now + this->scenario.oneWayDelay, [this, ticket] {
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
        if (server.coldAnswersLeft > 0) {
            const double overload =
                static_cast<double>(server.executing.size() + server.waitingForSlot.size() + 1) / ColdSlots;
            this->result.maxColdOverload = std::max(this->result.maxColdOverload, overload);
        }
        this->result.shares[entry.server]++;
        server.waitingForSlot.push_back(ticket);
        this->startWaiting(entry.server);
    }

    /** Starts waiting requests while the upstream has free slots. */
    void startWaiting(unsigned index)
    {
        Server &server = this->servers[index];
        const unsigned slots = server.coldAnswersLeft > 0 ? ColdSlots : this->scenario.slots;
        while (!server.waitingForSlot.empty() && server.executing.size() < slots) {
            const unsigned long ticket = server.waitingForSlot.front();
            server.waitingForSlot.pop_front();
            const BootTime end = this->now + this->serviceTime(index);
            server.executing[ticket] = end;
            this->schedule(end, [this, ticket, index] {
                this->complete(ticket, index);
            });
        }
    }

    nanoseconds serviceTime(unsigned index)
    {
        double factor = 0.5 - 0.5 * std::log(this->uniform());
        for (const SlowPeriod &period : this->scenario.slowPeriods) {
            if (period.upstream == index && this->now >= period.from && this->now < period.until) {
                factor *= period.factor;
            }
        }
        if (this->servers[index].coldAnswersLeft > 0) {
            factor *= ColdFactor;
        }
        return nanoseconds(static_cast<long>(factor * static_cast<double>(this->scenario.meanServiceTime.count())));
    }

    void complete(unsigned long ticket, unsigned index)
    {
        Server &server = this->servers[index];
        if (server.executing.erase(ticket) == 0) {
            return;
        }
        if (server.coldAnswersLeft > 0) {
            server.coldAnswersLeft--;
        }
        this->reply(ticket, agent::AttemptOutcome::Answered, true);
        this->finishAtServer(ticket, index, agent::WorkOutcome::Answered);
    }

    void finishAtServer(unsigned long ticket, unsigned index, agent::WorkOutcome outcome)
    {
        const nanoseconds latency = this->now - this->tickets.at(ticket).dispatchedAt;
        agent::finish(this->servers[index].gate, outcome, latency, this->now);
        this->startWaiting(index);
        this->wakeQueue(index);
    }

    void wakeQueue(unsigned index)
    {
        Server &server = this->servers[index];
        const agent::GateDecisions decisions = agent::processQueue(server.gate, this->now);
        for (const agent::TicketId ticket : decisions.shed) {
            this->reply(ticket, agent::AttemptOutcome::Overloaded, false);
        }
        for (const agent::TicketId ticket : decisions.admitted) {
            this->dispatch(ticket);
        }
        const BootTime next = agent::nextDispatchAt(server.gate);
        if (next == BootTime::max() || next <= this->now || server.nextCheckAt == next) {
            return;
        }
        server.nextCheckAt = next;
        this->schedule(next, [this, index, next] {
            if (this->servers[index].nextCheckAt == next) {
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
        const double load = this->scenario.reportsZeroLoad ? 0 : agent::load(this->servers[entry.server].gate);
        this->schedule(this->now + this->scenario.oneWayDelay, [this, entry, outcome, mayHaveRun, load] {
            if (const auto request = entry.request.lock()) {
                this->handleReply(request, entry.attempt, outcome, mayHaveRun, load);
            }
        });
    }

    void handleReply(const std::shared_ptr<Request> &request,
                     unsigned id,
                     agent::AttemptOutcome outcome,
                     bool mayHaveRun,
                     double load)
    {
        Attempt &attempt = request->attempts.at(id);
        if (std::exchange(attempt.hasEnded, true)) {
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
        attempt.hasEnded = true;
        agent::recordCancelled(request->entry->routing, attempt.upstream, this->now - attempt.sentAt, this->now);
        const unsigned long ticket = attempt.ticket;
        this->schedule(this->now + this->scenario.oneWayDelay, [this, ticket] {
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
        const auto found = std::find(server.waitingForSlot.begin(), server.waitingForSlot.end(), ticket);
        if (found != server.waitingForSlot.end()) {
            server.waitingForSlot.erase(found);
        } else if (server.executing.erase(ticket) == 0) {
            return;
        }
        this->finishAtServer(ticket, entry.server, agent::WorkOutcome::Lost);
    }

    void startCold()
    {
        this->servers[0].coldAnswersLeft = this->scenario.coldAnswers;
        agent::restart(this->servers[0].gate, this->now);
    }

    Policy policy;
    Scenario scenario;
    pcg32 random;
    BootTime now;
    std::priority_queue<Event> events;
    unsigned long nextSequence = 0;
    unsigned long lastTicket = 0;
    std::vector<Agent> agents;
    std::vector<Server> servers;
    std::vector<agent::Candidate> candidates;
    std::map<unsigned long, Ticket> tickets;
    RunResult result;
};

/** @return requests per second that all upstreams can serve when warm */
inline double capacity(const Scenario &scenario)
{
    return scenario.upstreams * scenario.slots / std::chrono::duration<double>(scenario.meanServiceTime).count();
}

} // namespace bergamotweir::bench
