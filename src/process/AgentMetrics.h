#pragma once

#include "table/RouteKind.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace bergamotweir::process {

/** Where a part of a request's time went. */
enum class TimeSpent {
    /** Waiting at the gate beside the upstream. */
    Queue,
    /** At the upstream. */
    Upstream,
    /** At another agent, its queue and its upstream included. */
    OtherAgent,
    /** From a caller's request to its answer. */
    Whole
};

/**
 * Counters and latency histograms of an agent, in the Prometheus text format.
 * The number of series is bounded: by the routes and services of the table, of which the first MaxNames have a name of
 * their own and the others share one; no series is made for a key or a request.
 * Owned by AgentProcess; used on the loop's thread.
 */
class AgentMetrics
{
public:
    /** Names of routes, and of services, that have series of their own. */
    static constexpr std::size_t MaxNames = 64;

    AgentMetrics();
    ~AgentMetrics();
    AgentMetrics(const AgentMetrics &) = delete;
    AgentMetrics &operator=(const AgentMetrics &) = delete;

    /** A caller's request ended. @param outcome "answered" or "refused" */
    void requestEnded(const std::string &route, table::RouteKind kind, std::string_view outcome, int status);
    /** @param reason how the attempt ended that decided it */
    void refused(std::string_view reason);
    void retried(const std::string &service, double budgetLeft);
    void spent(TimeSpent where, const std::string &service, std::chrono::nanoseconds time);
    void connectionsOpened(std::uint64_t total);
    void heartbeatLate();
    void keysMoved(std::uint64_t slices);
    void keyedRequestWithoutOwner();
    void revision(std::uint64_t revision, std::chrono::nanoseconds age);

    /** @return all of it as text */
    std::string text() const;

private:
    struct Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace bergamotweir::process
