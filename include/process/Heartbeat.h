#pragma once

#include "process/Announcement.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bergamotweir::process {

/** A range of numbered keys, both ends included. */
struct KeyRange {
    std::uint32_t first = 0;
    std::uint32_t last = 0;

    bool operator==(const KeyRange &other) const = default;
};

/** Keys that an upstream holds or is still working on. */
struct HeldKeys {
    KeyRange keys;
    std::uint64_t epoch = 0;
};

/** Keys that an upstream has released since its last acknowledged heartbeat. */
struct ReleasedKeys {
    KeyRange keys;
    /** Passed to the next owner, so that it starts warm. */
    std::string handover;
};

/** Heartbeat of an upstream. */
struct Heartbeat {
    Announcement announcement;
    /** It will soon accept no new work: it is draining or has deregistered. */
    bool isDraining = false;
    /** It has deregistered; only announcement.instance is set. */
    bool isDeregistration = false;
    /** Increases with each heartbeat of one process; a lower value means that the heartbeat arrived late. */
    std::uint64_t sequence = 0;
    /** Remaining time of its warm-up. */
    std::chrono::milliseconds coldFor{0};
    /** Whether it lists held and released keys, empty lists included. */
    bool listsKeys = false;
    std::vector<HeldKeys> held;
    std::vector<ReleasedKeys> releasedKeys;
};

/** Keys granted to an upstream. */
struct KeyGrant {
    KeyRange keys;
    std::uint64_t epoch = 0;
    /** Handover that the previous owner provided; empty if none. */
    std::string handover;
};

/** The acknowledgement of a heartbeat. */
struct HeartbeatAnswer {
    std::vector<KeyGrant> grants;
    /** Validity of the grants, from the time the heartbeat was sent; nullopt renews no grant. */
    std::optional<std::chrono::milliseconds> holdFor;
};

} // namespace bergamotweir::process
