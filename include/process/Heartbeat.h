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

/** Keys that an upstream holds or still works on. */
struct HeldKeys {
    KeyRange keys;
    std::uint64_t epoch = 0;
};

/** Keys that an upstream has given up since its last acknowledged heartbeat. */
struct ReleasedKeys {
    KeyRange keys;
    /** For the next owner, which starts warm with it. */
    std::string handover;
};

/** What an upstream says of itself in a heartbeat. */
struct Heartbeat {
    Announcement announcement;
    /** It takes no new work soon: it is being emptied, or has said goodbye. */
    bool isDraining = false;
    /** It said goodbye: nothing but announcement.instance is known. */
    bool isDeregistration = false;
    /** Grows with each heartbeat of one process; an older one arrived late. */
    std::uint64_t sequence = 0;
    /** How much longer it is cold. */
    std::chrono::milliseconds coldFor{0};
    std::vector<HeldKeys> held;
    std::vector<ReleasedKeys> releasedKeys;
};

/** Keys that an upstream is to hold. */
struct KeyGrant {
    KeyRange keys;
    std::uint64_t epoch = 0;
    /** What the owner before gave out; empty when it gave nothing. */
    std::string handover;
};

/** The acknowledgement of a heartbeat. */
struct HeartbeatAnswer {
    std::vector<KeyGrant> grants;
    /** How long from the sending of the heartbeat the grants hold; nothing renews nothing. */
    std::optional<std::chrono::milliseconds> holdFor;
};

} // namespace bergamotweir::process
