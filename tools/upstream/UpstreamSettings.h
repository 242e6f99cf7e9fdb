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
    /** Empty for no ledger. */
    std::string ledger;
    /** Written with the port bound to, once listening; empty for none. */
    std::string portFile;
    unsigned slots = 12;
    unsigned connections = 130;
    bool checksGrants = false;
    /** Mean time of a request in its slot; 0 answers at once. */
    std::chrono::microseconds serviceTime{1000};
    /** Share of the service time that varies, exponentially distributed; 0 to 1. */
    double jitter = 0.5;
    /** Time of the upstream that each new connection takes. */
    std::chrono::microseconds connectionCost{1000};
    /** How long the upstream is cold after its start. */
    std::chrono::milliseconds coldTime{0};
    /** Requests it bears at once while cold; each one more makes all slower. */
    unsigned coldSlots = 2;
    /** Requests beyond its cold slots before it falls over; 0 for never. */
    unsigned coldStrain = 0;
    std::uint64_t seed = 1;
};

/** @return the settings, or all findings; prints the help and ends the process for --help */
Result<UpstreamSettings> parseSettings(int argc, char **argv);

} // namespace bergamotweir::upstream
