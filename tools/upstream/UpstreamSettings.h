#pragma once

#include "base/Result.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace bergamotweir::upstream {

/** The command line of the stand-in upstream. */
struct UpstreamSettings {
    std::string service;
    std::string name;
    std::uint16_t port = 0;
    /** IP:port of the agent's announce endpoint; empty for an upstream that is called directly. */
    std::string agent;
    /** Path of the ledger; empty for none. */
    std::string ledger;
    /** Path of a file that receives the bound port once the upstream listens; empty for none. */
    std::string portFile;
    unsigned slots = 12;
    unsigned connections = 130;
    bool checksGrants = false;
    /** Mean time that a request occupies its slot; 0 answers immediately. */
    std::chrono::microseconds serviceTime{1000};
    /** Share of the service time that varies, exponentially distributed; 0 to 1. */
    double jitter = 0.5;
    /** Service time that each new connection adds to its first request. */
    std::chrono::microseconds connectionCost{1000};
    /** How long the upstream is cold after its start. */
    std::chrono::milliseconds coldTime{0};
    /** Concurrent requests while cold without slowdown; each further one lengthens the service time of new requests. */
    unsigned coldSlots = 2;
    /** Requests beyond the cold slots before the process exits as if crashed; 0 for never. */
    unsigned maxColdExcess = 0;
    /** Requests per second, stated in each answer; 0 states no limit. */
    double rateLimit = 0;
    std::uint64_t seed = 1;
};

/** @return the settings, or all findings; for --help prints the help and exits the process */
Result<UpstreamSettings> parseSettings(int argc, char **argv);

} // namespace bergamotweir::upstream
