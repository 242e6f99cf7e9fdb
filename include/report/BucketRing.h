#pragma once

#include "base/BootClock.h"
#include "report/Counts.h"

#include <chrono>
#include <vector>

namespace bergamotweir::report {

/** Counts over a sliding window in constant memory: a ring with one bucket for each span of time. */
class BucketRing
{
public:
    /**
     * @param width span of time of one bucket
     * @param buckets number of buckets; the longest window is width * buckets
     */
    BucketRing(std::chrono::seconds width, std::size_t buckets);

    /** Adds counts at a time point, which must not go back by more than the length of the ring. */
    void add(const Counts &counts, BootTime now);

    /**
     * @return the counts added in the window that ends now: whole buckets and the current one, at most the length of
     *         the ring
     */
    Counts sum(std::chrono::seconds window, BootTime now) const;

private:
    struct Bucket {
        /** Number of the span of time that it counts, since boot; -1 while unused. */
        std::int64_t spanNumber = -1;
        std::uint32_t total = 0;
        std::uint32_t refused = 0;
        std::uint32_t failed = 0;
        std::uint32_t late = 0;
    };

    std::int64_t spanNumberAt(BootTime now) const;

    std::chrono::seconds width;
    std::vector<Bucket> buckets;
};

} // namespace bergamotweir::report
