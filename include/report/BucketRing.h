#pragma once

#include "base/BootClock.h"
#include "report/Counts.h"

#include <chrono>
#include <vector>

namespace bergamotweir::report {

/** Counts over a sliding window in constant memory: one bucket for each span of time, the oldest is used again. */
class BucketRing
{
public:
    /**
     * @param width span of one bucket
     * @param buckets how many; the longest window is width * buckets
     */
    BucketRing(std::chrono::seconds width, std::size_t buckets);

    /** Adds counts at a moment; moments never go back by more than the ring's length. */
    void add(const Counts &counts, BootTime now);

    /** @return what was added in the window that ends now, whole buckets and the present one; at most the ring's length
     */
    Counts sum(std::chrono::seconds window, BootTime now) const;

private:
    struct Bucket {
        /** Which span of time since boot it counts. */
        std::int64_t number = -1;
        std::uint32_t total = 0;
        std::uint32_t refused = 0;
        std::uint32_t failed = 0;
        std::uint32_t late = 0;
    };

    std::int64_t numberAt(BootTime now) const;

    std::chrono::seconds width;
    std::vector<Bucket> buckets;
};

} // namespace bergamotweir::report
