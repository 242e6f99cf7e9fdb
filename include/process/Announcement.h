#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace bergamotweir::process {

/** What an upstream says of itself again and again. */
struct Announcement {
    std::string service;
    std::string name;
    /** Loopback port, where no address is said. */
    std::uint16_t port = 0;
    /** Changes at each start of the upstream. */
    std::string incarnation;
    unsigned slots = 1;
    unsigned connections = 1;
    bool checksGrants = false;
    /** IP:port; empty for loopback and the port. */
    std::string address;
    /** Its own name for its process, which it checks on each request; empty when it checks nothing. */
    std::string instance;
    /** When its process started, on its own wall clock; 0 when it doesn't say. */
    std::chrono::milliseconds startedAt{0};

    bool operator==(const Announcement &other) const = default;
};

/** @return IP:port of the upstream */
std::string upstreamAddress(const Announcement &announcement);

} // namespace bergamotweir::process
