#pragma once

#include "table/RouteKind.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace bergamotweir::process {

/** Phase of a request that time is recorded for. */
enum class TimeSpent {
    /** Waiting at the gate beside the upstream. */
    Queue,
    /** At the upstream. */
    Upstream,
    /** At another agent, including its queue and its upstream. */
    OtherAgent,
    /** From a caller's request to its answer. */
    Whole
};

/**
 * Counters and latency histograms of an agent, in the Prometheus text format.
 * The number of series is bounded: the first MaxNames routes and services each have series of their own, all others
 * share the label "other", and no series is created per key or request.
 * Owned by AgentProcess; used on the loop's thread.
 */
class AgentMetrics
{
public:
    /** Maximum number of routes, and of services, that have series of their own. */
    static constexpr std::size_t MaxNames = 64;

    AgentMetrics();
    ~AgentMetrics();
    AgentMetrics(const AgentMetrics &) = delete;
    AgentMetrics &operator=(const AgentMetrics &) = delete;

    /** Counts the end of a caller's request. @param outcome "answered" or "refused" */
    void requestEnded(const std::string &route, table::RouteKind kind, std::string_view outcome, int status);
    /** Counts a refused request. @param reason outcome of the attempt that decided the refusal */
    void refused(std::string_view reason);
    void retried(const std::string &service, double budgetLeft);
    void spent(TimeSpent where, const std::string &service, std::chrono::nanoseconds time);
    /** Counts a request sent to the upstream beside this agent. */
    void requestSent(const std::string &service);
    /**
     * Sets what the upstreams of a service beside this agent state about themselves.
     * @param rateLimit requests per second; 0 if they state no limit
     */
    void upstreamNotices(const std::string &service, double rateLimit, unsigned leaving);
    /** Sets the notices of all services to none, before upstreamNotices() is called for those that have upstreams. */
    void clearUpstreamNotices();
    void connectionsOpened(std::uint64_t total);
    void heartbeatLate();
    void recordReleasedSlices(std::uint64_t slices);
    void keyedRequestWithoutOwner();
    void revision(std::uint64_t revision, std::chrono::nanoseconds age);

    /** @return all metrics in the Prometheus text format */
    std::string text() const;

private:
    struct Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace bergamotweir::process
