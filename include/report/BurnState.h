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

/** How a request ended, as its caller saw it. */
enum class Outcome {
    /** The whole answer of an upstream that is no server error. */
    Answered,
    /** The system refused it; a planned drain that the caller doesn't notice refuses nothing. */
    Refused,
    /** The upstream failed or answered with a server error, or the deadline passed. */
    Failed,
    /** Malformed, unknown service, or the caller went away: burns nothing and isn't counted. */
    CallerFault,
};

/** The end of one request at the agent that took it from its caller; agents that were forwarded to record nothing. */
struct CompletedRequest {
    std::string_view service;
    /** Empty when it reached none. */
    std::string_view upstream;
    std::string_view failureDomain;
    Outcome outcome = Outcome::Answered;
    std::chrono::nanoseconds latency{0};
};

/** What burned the budget at one upstream: only what went wrong is kept. */
struct Blame {
    Blame();

    BucketRing hour;
    BucketRing sixHours;
};

/** What is kept of one service. */
struct ServiceBurn {
    ServiceBurn();

    table::ServicePolicy objectives;
    /** Six hours. */
    BucketRing counts;
    Counts sinceStart;
    LatencyStatistics latency;
    /** By failure domain and upstream; at most MaxBlamed, the rest is laid to OtherUpstreams. */
    std::map<std::pair<std::string, std::string>, Blame> blames;
};

/** Upstreams for which each service keeps what they burned. */
inline constexpr std::size_t MaxBlamed = 512;
inline constexpr const char *OtherUpstreams = "(others)";
/** Where a request that reached no upstream is laid. */
inline constexpr const char *NoUpstream = "(none)";

/**
 * Counts of one agent for the burn report: constant memory for each service and upstream, none for each key.
 * Starts empty with the process: counts do not survive a restart, and the report says since when they count.
 */
struct BurnState {
    BootTime start{};
    std::map<std::string, ServiceBurn, std::less<>> services;
};

/** Takes the objectives from a table; services that it doesn't name are dropped, new ones start empty. */
void setObjectives(BurnState &state, const table::Table &table);

/** Counts the end of a request; one of a service without objectives isn't counted. */
void record(BurnState &state, const CompletedRequest &end, BootTime now);

/** @return the report of this agent alone */
BurnReport makeReport(const BurnState &state, BootTime now);

} // namespace bergamotweir::report
