#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace bergamotweir::process {

/** Periodic self-description of an upstream. */
struct Announcement {
    std::string service;
    std::string name;
    /** Loopback port, used if no address is given. */
    std::uint16_t port = 0;
    /** Changes at each start of the upstream. */
    std::string incarnation;
    unsigned slots = 1;
    unsigned connections = 1;
    bool checksGrants = false;
    /** IP:port; empty for loopback and the port. */
    std::string address;
    /** Name that the upstream gave its process and checks on each request; empty if it doesn't check. */
    std::string instance;
    /** Start of its process as Unix time of its own wall clock; 0 if not stated. */
    std::chrono::milliseconds startedAt{0};

    bool operator==(const Announcement &other) const = default;
};

/** @return IP:port of the upstream */
std::string upstreamAddress(const Announcement &announcement);

} // namespace bergamotweir::process
