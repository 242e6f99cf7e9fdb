#include "report/BucketRing.h"

#include <algorithm>
#include <cassert>

namespace bergamotweir::report {

BucketRing::BucketRing(std::chrono::seconds width, std::size_t buckets)
    : width(width)
    , buckets(buckets)
{
    assert(width.count() > 0 && buckets > 0);
}

std::int64_t BucketRing::spanNumberAt(BootTime now) const
{
    return now.time_since_epoch() / this->width;
}

void BucketRing::add(const Counts &counts, BootTime now)
{
    const std::int64_t spanNumber = this->spanNumberAt(now);
    Bucket &bucket = this->buckets[static_cast<std::size_t>(spanNumber) % this->buckets.size()];
    if (bucket.spanNumber != spanNumber) {
        bucket = Bucket{.spanNumber = spanNumber};
    }
    bucket.total += static_cast<std::uint32_t>(counts.total);
    bucket.refused += static_cast<std::uint32_t>(counts.refused);
    bucket.failed += static_cast<std::uint32_t>(counts.failed);
    bucket.late += static_cast<std::uint32_t>(counts.late);
}

Counts BucketRing::sum(std::chrono::seconds window, BootTime now) const
{
    const std::int64_t last = this->spanNumberAt(now);
    const auto maxSpans = static_cast<std::int64_t>(this->buckets.size());
    const std::int64_t first = last - std::min<std::int64_t>(window / this->width, maxSpans) + 1;
    Counts counts;
    for (const Bucket &bucket : this->buckets) {
        if (bucket.spanNumber >= first && bucket.spanNumber <= last) {
            counts += {bucket.total, bucket.refused, bucket.failed, bucket.late};
        }
    }
    return counts;
}

} // namespace bergamotweir::report
