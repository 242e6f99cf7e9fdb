#pragma once

#include "base/Result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace bergamotweir::load {

/** The command line of the load generator. */
struct LoadSettings {
    /** IP:port of agents' caller ports; each request goes to one chosen at random. */
    std::vector<std::string> targets;
    /** Empty for no keyed requests. */
    std::string keyedService;
    /** Empty for no unkeyed requests. */
    std::string unkeyedService;
    /** Mean arrivals per second of the open loop. */
    double rate = 200;
    /** Above 0: a closed loop with this number of requests in flight; the rate is then ignored. */
    unsigned concurrency = 0;
    std::chrono::milliseconds duration{2000};
    /** Requests sent within this time from the start are not measured; the ledger check counts them. */
    std::chrono::milliseconds warmUp{0};
    std::chrono::milliseconds timeout{1000};
    /** Share of requests for the keyed service, when both are given. */
    double keyedShare = 0.5;
    /** Share of keyed requests that are POST. */
    double postShare = 0.5;
    /** Share of POST requests that have an Idempotency-Key. */
    double idempotencyShare = 0.5;
    /** Share of POST requests with an Idempotency-Key that are sent a second time, to a target chosen anew. */
    double resendShare = 0;
    unsigned keys = 1000;
    /** Number of groups of keys; the longest time without an answer is measured for each group. */
    unsigned keyGroups = 16;
    unsigned connections = 128;
    /** Ledger files of the upstreams, compared with the outcomes when the settle time after the load has passed. */
    std::vector<std::string> ledgers;
    std::chrono::milliseconds settle{200};
    /** Path of a file that receives one line per request; empty for none. */
    std::string outcomes;
    std::uint64_t seed = 1;
};

/** @return the settings, or all findings; for --help prints the help and exits the process */
Result<LoadSettings> parseSettings(int argc, char **argv);

} // namespace bergamotweir::load
