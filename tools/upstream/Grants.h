#pragma once

#include "base/BootClock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bergamotweir::upstream {

/** A range of the key hash space: begin is included, end is excluded; an end of 0 means the end of the space. */
struct Range {
    std::uint64_t begin = 0;
    std::uint64_t end = 0;
};

/** The fenced grants of a stand-in upstream: the ranges that it may serve, each with its epoch and expiry. */
class Grants
{
public:
    /** Applies a grant. @return false, with nothing changed, when any part of it is known under a newer epoch */
    bool grant(const std::vector<Range> &ranges, std::uint64_t epoch, BootTime until);

    /** Revokes ranges; a range that overlaps a newer epoch is left as it is. */
    void revoke(const std::vector<Range> &ranges, std::uint64_t epoch);

    /** @return true when the hash is in a range granted at @p now under exactly @p epoch */
    bool covers(std::uint64_t hash, std::uint64_t epoch, BootTime now) const;

private:
    struct Entry {
        /** Last hash of the range, included. */
        std::uint64_t last = 0;
        std::uint64_t epoch = 0;
        BootTime until;
        bool revoked = false;
    };

    std::uint64_t newestEpochIn(std::uint64_t begin, std::uint64_t last) const;
    void clearRange(std::uint64_t begin, std::uint64_t last);
    void replaceRange(const Range &range, const Entry &entry);

    std::map<std::uint64_t, Entry> entriesByBegin;
};

} // namespace bergamotweir::upstream
