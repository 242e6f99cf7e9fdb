#include "Grants.h"

#include <algorithm>

namespace bergamotweir::upstream {

static std::uint64_t lastOf(const Range &range)
{
    return range.end - 1;
}

bool Grants::grant(const std::vector<Range> &ranges, std::uint64_t epoch, BootTime until)
{
    const bool older = std::any_of(ranges.begin(), ranges.end(), [&](const Range &range) {
        return this->newestEpochIn(range.begin, lastOf(range)) > epoch;
    });
    if (older) {
        return false;
    }
    for (const Range &range : ranges) {
        this->put(range, {.last = lastOf(range), .epoch = epoch, .until = until});
    }
    return true;
}

void Grants::revoke(const std::vector<Range> &ranges, std::uint64_t epoch)
{
    for (const Range &range : ranges) {
        if (this->newestEpochIn(range.begin, lastOf(range)) <= epoch) {
            this->put(range, {.last = lastOf(range), .epoch = epoch, .until = {}, .revoked = true});
        }
    }
}

bool Grants::covers(std::uint64_t hash, std::uint64_t epoch, BootTime now) const
{
    auto found = this->byBegin.upper_bound(hash);
    if (found == this->byBegin.begin()) {
        return false;
    }
    --found;
    const Held &held = found->second;
    return hash <= held.last && held.epoch == epoch && !held.revoked && now < held.until;
}

std::uint64_t Grants::newestEpochIn(std::uint64_t begin, std::uint64_t last) const
{
    std::uint64_t newest = 0;
    for (const auto &[from, held] : this->byBegin) {
        if (from <= last && held.last >= begin) {
            newest = std::max(newest, held.epoch);
        }
    }
    return newest;
}

/** Makes room for a range: what lies in it is dropped, what overlaps its ends is shortened. */
void Grants::cut(std::uint64_t begin, std::uint64_t last)
{
    const std::map<std::uint64_t, Held> before = std::move(this->byBegin);
    this->byBegin.clear();
    for (const auto &[from, held] : before) {
        if (from > last || held.last < begin) {
            this->byBegin[from] = held;
            continue;
        }
        if (from < begin) {
            this->byBegin[from] = held;
            this->byBegin[from].last = begin - 1;
        }
        if (held.last > last) {
            this->byBegin[last + 1] = held;
        }
    }
}

void Grants::put(const Range &range, const Held &held)
{
    const auto same = this->byBegin.find(range.begin);
    if (same != this->byBegin.end() && same->second.last == held.last) {
        same->second = held;
        return;
    }
    this->cut(range.begin, held.last);
    this->byBegin[range.begin] = held;
}

} // namespace bergamotweir::upstream
