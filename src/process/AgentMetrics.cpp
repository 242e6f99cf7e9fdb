#include "process/AgentMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <set>
#include <sstream>

namespace bergamotweir::process {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

/** Bucket bounds in seconds, from the overhead of an agent itself up to the longest time-outs. */
const prometheus::Histogram::BucketBoundaries Buckets{0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 1, 2, 5};

const char *partName(TimeSpent where)
{
    switch (where) {
    case TimeSpent::Queue:
        return "queue";
    case TimeSpent::Upstream:
        return "upstream";
    case TimeSpent::OtherAgent:
        return "other_agent";
    case TimeSpent::Whole:
        break;
    }
    return "whole";
}

template<typename Builder>
auto &family(prometheus::Registry &registry, Builder builder, const char *name, const char *help)
{
    return builder.Name(std::string("bergamotweir_") + name).Help(help).Register(registry);
}

} // namespace

struct AgentMetrics::Parts {
    /** @return the name itself while fewer than MaxNames names are known, "other" afterwards */
    static std::string boundedLabel(std::set<std::string> &known, const std::string &name)
    {
        if (known.contains(name) || known.size() < MaxNames) {
            known.insert(name);
            return name;
        }
        return "other";
    }

    prometheus::Registry registry;
    std::set<std::string> routes;
    std::set<std::string> services;
    std::set<std::string> servicesWithNotices;
    prometheus::Family<prometheus::Counter> &requests =
        family(registry, BuildCounter(), "requests_total", "Callers' requests by route, kind and outcome.");
    prometheus::Family<prometheus::Counter> &refusals =
        family(registry, BuildCounter(), "refusals_total", "Refused requests by the reason that decided it.");
    prometheus::Family<prometheus::Counter> &retries =
        family(registry, BuildCounter(), "retries_total", "Requests sent again (retries), by service.");
    prometheus::Family<prometheus::Gauge> &budget =
        family(registry, BuildGauge(), "retry_budget", "Retries that the budget allows at present, by service.");
    prometheus::Family<prometheus::Histogram> &time =
        family(registry, BuildHistogram(), "request_seconds", "Where requests spend their time, by service.");
    prometheus::Family<prometheus::Counter> &upstreamRequests =
        family(registry, BuildCounter(), "upstream_requests_total", "Requests sent to the upstream, by service.");
    prometheus::Family<prometheus::Gauge> &upstreamRateLimit =
        family(registry, BuildGauge(), "upstream_rate_limit", "Requests per second that the upstream allows; 0: any.");
    prometheus::Family<prometheus::Gauge> &upstreamsLeaving =
        family(registry, BuildGauge(), "upstreams_leaving", "Upstreams that are leaving, by service.");
    prometheus::Counter &connections =
        family(registry, BuildCounter(), "connections_opened_total", "Connections opened to the upstream.").Add({});
    prometheus::Counter &lateHeartbeats =
        family(registry, BuildCounter(), "heartbeats_late_total", "Heartbeats that arrived behind a newer one.")
            .Add({});
    prometheus::Counter &releasedSlices =
        family(registry, BuildCounter(), "slices_released_total", "Slices that this agent's upstreams released.")
            .Add({});
    prometheus::Counter &ownerWaits = family(registry,
                                             BuildCounter(),
                                             "requests_without_owner_total",
                                             "Waits of keyed requests for an owner of the key.")
                                          .Add({});
    prometheus::Gauge &revisionInForce =
        family(registry, BuildGauge(), "routes_revision", "Revision of the routes in force.").Add({});
    prometheus::Gauge &revisionAge =
        family(registry, BuildGauge(), "routes_age_seconds", "Time since the routes in force were received.").Add({});
};

AgentMetrics::AgentMetrics()
    : parts(std::make_unique<Parts>())
{
}

AgentMetrics::~AgentMetrics() = default;

void AgentMetrics::requestEnded(const std::string &route, table::RouteKind kind, std::string_view outcome, int status)
{
    this->parts->requests
        .Add({{"route", Parts::boundedLabel(this->parts->routes, route)},
              {"kind", table::toText(kind)},
              {"outcome", std::string(outcome)},
              {"status", std::to_string(status)}})
        .Increment();
}

void AgentMetrics::refused(std::string_view reason)
{
    this->parts->refusals.Add({{"reason", std::string(reason)}}).Increment();
}

void AgentMetrics::retried(const std::string &service, double budgetLeft)
{
    const std::string name = Parts::boundedLabel(this->parts->services, service);
    this->parts->retries.Add({{"service", name}}).Increment();
    this->parts->budget.Add({{"service", name}}).Set(budgetLeft);
}

void AgentMetrics::spent(TimeSpent where, const std::string &service, std::chrono::nanoseconds time)
{
    this->parts->time
        .Add({{"service", Parts::boundedLabel(this->parts->services, service)}, {"part", partName(where)}}, Buckets)
        .Observe(std::chrono::duration<double>(time).count());
}

void AgentMetrics::requestSent(const std::string &service)
{
    this->parts->upstreamRequests.Add({{"service", Parts::boundedLabel(this->parts->services, service)}}).Increment();
}

void AgentMetrics::upstreamNotices(const std::string &service, double rateLimit, unsigned leaving)
{
    const std::string name = Parts::boundedLabel(this->parts->services, service);
    this->parts->servicesWithNotices.insert(name);
    this->parts->upstreamRateLimit.Add({{"service", name}}).Set(rateLimit);
    this->parts->upstreamsLeaving.Add({{"service", name}}).Set(leaving);
}

void AgentMetrics::clearUpstreamNotices()
{
    for (const std::string &service : this->parts->servicesWithNotices) {
        this->upstreamNotices(service, 0, 0);
    }
}

void AgentMetrics::connectionsOpened(std::uint64_t total)
{
    // The counter keeps connections to upstreams that have been removed; it never decreases.
    this->parts->connections.Increment(std::max(0.0, static_cast<double>(total) - this->parts->connections.Value()));
}

void AgentMetrics::heartbeatLate()
{
    this->parts->lateHeartbeats.Increment();
}

void AgentMetrics::recordReleasedSlices(std::uint64_t slices)
{
    this->parts->releasedSlices.Increment(static_cast<double>(slices));
}

void AgentMetrics::keyedRequestWithoutOwner()
{
    this->parts->ownerWaits.Increment();
}

void AgentMetrics::revision(std::uint64_t revision, std::chrono::nanoseconds age)
{
    this->parts->revisionInForce.Set(static_cast<double>(revision));
    this->parts->revisionAge.Set(std::chrono::duration<double>(age).count());
}

std::string AgentMetrics::text() const
{
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, this->parts->registry.Collect());
    return text.str();
}

} // namespace bergamotweir::process
