#pragma once

#include "base/Result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace bergamotweir::load {

/** The command line of the load generator. */
struct LoadSettings {
    /** IP:port of callers' ports; each request goes to one by chance. */
    std::vector<std::string> targets;
    /** Empty for no keyed requests. */
    std::string keyedService;
    /** Empty for no unkeyed requests. */
    std::string unkeyedService;
    /** Arrivals a second, open loop. */
    double rate = 200;
    /** Above 0: closed loop with so many requests at once, and no rate. */
    unsigned concurrency = 0;
    std::chrono::milliseconds duration{2000};
    /** Requests of the first so long are sent but not measured; the ledger check counts them. */
    std::chrono::milliseconds warmUp{0};
    std::chrono::milliseconds timeout{1000};
    /** Share of requests for the keyed service, when both are given. */
    double keyedShare = 0.5;
    /** Share of keyed requests that are POST. */
    double postShare = 0.5;
    /** Share of POST with an Idempotency-Key. */
    double idempotencyShare = 0.5;
    /** Share of POST with an Idempotency-Key that are sent a second time to another target. */
    double resendShare = 0;
    unsigned keys = 1000;
    /** Keys are put into so many groups, and the time without an answer is taken for each. */
    unsigned keyGroups = 16;
    unsigned connections = 128;
    /** Compared with the outcomes once the load has ended and the settle time passed. */
    std::vector<std::string> ledgers;
    std::chrono::milliseconds settle{200};
    /** Written with one line per request; empty for none. */
    std::string outcomes;
    std::uint64_t seed = 1;
};

/** @return the settings, or all findings; prints the help and ends the process for --help */
Result<LoadSettings> parseSettings(int argc, char **argv);

} // namespace bergamotweir::load
