#pragma once

#include "base/BootClock.h"
#include "report/BucketRing.h"
#include "report/Counts.h"
#include "report/LatencyStatistics.h"
#include "table/Policy.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace bergamotweir::table {
class Table;
}

namespace bergamotweir::report {

struct BurnReport;

/** Outcome of a request as its caller saw it. */
enum class Outcome {
    /** An upstream gave a whole answer that is no server error. */
    Answered,
    /** The system refused it. A planned drain that the caller doesn't notice counts no refusal. */
    Refused,
    /** The upstream failed or answered with a server error, or the deadline passed. */
    Failed,
    /** Malformed, unknown service, or the caller disconnected: burns no budget and isn't counted. */
    CallerFault,
};

/**
 * A completed request. Recorded only by the agent that received it from its caller, not by agents that it was forwarded
 * to.
 */
struct CompletedRequest {
    std::string_view service;
    /** Empty when the request reached no upstream. */
    std::string_view upstream;
    std::string_view failureDomain;
    Outcome outcome = Outcome::Answered;
    std::chrono::nanoseconds latency{0};
};

/** Requests at one upstream that burned the budget; requests without a fault are not counted. */
struct Blame {
    Blame();

    BucketRing hour;
    BucketRing sixHours;
};

/** Counts of one service. */
struct ServiceBurn {
    ServiceBurn();

    table::ServicePolicy objectives;
    /** Covers six hours. */
    BucketRing counts;
    Counts sinceStart;
    LatencyStatistics latency;
    /** By failure domain and upstream; at most MaxBlamed, further upstreams are counted under OtherUpstreams. */
    std::map<std::pair<std::string, std::string>, Blame> blames;
};

/** Maximum number of upstreams that are counted one by one for each service. */
inline constexpr std::size_t MaxBlamed = 512;
inline constexpr const char *OtherUpstreams = "(others)";
/** Counts requests that reached no upstream. */
inline constexpr const char *NoUpstream = "(none)";

/**
 * Counts of one agent for the burn report: constant memory for each service and upstream, no memory for each key.
 * Counts do not survive a restart of the process; the report says for how long the agent has been counting.
 */
struct BurnState {
    BootTime start{};
    std::map<std::string, ServiceBurn, std::less<>> services;
};

/** Sets the objectives from a table. Services that it doesn't name are removed, new ones start with empty counts. */
void setObjectives(BurnState &state, const table::Table &table);

/** Counts a completed request; a request of a service without objectives isn't counted. */
void record(BurnState &state, const CompletedRequest &request, BootTime now);

/** @return the report of this agent alone */
BurnReport makeReport(const BurnState &state, BootTime now);

} // namespace bergamotweir::report
