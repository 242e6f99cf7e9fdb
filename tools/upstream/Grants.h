#pragma once

#include "base/BootClock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bergamotweir::upstream {

/** A range of the key hash space: begin included, end excluded; an end of 0 is the end of the space. */
struct Range {
    std::uint64_t begin = 0;
    std::uint64_t end = 0;
};

/** The fenced grants of a stand-in upstream: which ranges it may serve, under which epoch, until when. */
class Grants
{
public:
    /** Takes a grant. @return false when any part of it is already held under a newer epoch; nothing is then taken */
    bool grant(const std::vector<Range> &ranges, std::uint64_t epoch, BootTime until);

    /** Gives ranges up; what is held under a newer epoch stays. */
    void revoke(const std::vector<Range> &ranges, std::uint64_t epoch);

    /** @return true when the hash lies in a range held at @p now under exactly @p epoch */
    bool covers(std::uint64_t hash, std::uint64_t epoch, BootTime now) const;

private:
    struct Held {
        /** Last hash of the range, included. */
        std::uint64_t last = 0;
        std::uint64_t epoch = 0;
        BootTime until;
        bool revoked = false;
    };

    std::uint64_t newestEpochIn(std::uint64_t begin, std::uint64_t last) const;
    void cut(std::uint64_t begin, std::uint64_t last);
    void put(const Range &range, const Held &held);

    std::map<std::uint64_t, Held> byBegin;
};

} // namespace bergamotweir::upstream
