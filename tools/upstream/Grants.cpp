#include "Grants.h"

#include <algorithm>

namespace bergamotweir::upstream {

static std::uint64_t lastHashOf(const Range &range)
{
    return range.end - 1;
}

bool Grants::grant(const std::vector<Range> &ranges, std::uint64_t epoch, BootTime until)
{
    const bool hasNewerEpoch = std::any_of(ranges.begin(), ranges.end(), [&](const Range &range) {
        return this->newestEpochIn(range.begin, lastHashOf(range)) > epoch;
    });
    if (hasNewerEpoch) {
        return false;
    }
    for (const Range &range : ranges) {
        this->replaceRange(range, {.last = lastHashOf(range), .epoch = epoch, .until = until});
    }
    return true;
}

void Grants::revoke(const std::vector<Range> &ranges, std::uint64_t epoch)
{
    for (const Range &range : ranges) {
        if (this->newestEpochIn(range.begin, lastHashOf(range)) <= epoch) {
            this->replaceRange(range, {.last = lastHashOf(range), .epoch = epoch, .until = {}, .revoked = true});
        }
    }
}

bool Grants::covers(std::uint64_t hash, std::uint64_t epoch, BootTime now) const
{
    auto found = this->entriesByBegin.upper_bound(hash);
    if (found == this->entriesByBegin.begin()) {
        return false;
    }
    --found;
    const Entry &entry = found->second;
    return hash <= entry.last && entry.epoch == epoch && !entry.revoked && now < entry.until;
}

std::uint64_t Grants::newestEpochIn(std::uint64_t begin, std::uint64_t last) const
{
    std::uint64_t newest = 0;
    for (const auto &[from, entry] : this->entriesByBegin) {
        if (from <= last && entry.last >= begin) {
            newest = std::max(newest, entry.epoch);
        }
    }
    return newest;
}

/** Clears a range: removes entries inside it and truncates entries that overlap its ends. */
void Grants::clearRange(std::uint64_t begin, std::uint64_t last)
{
    const std::map<std::uint64_t, Entry> before = std::move(this->entriesByBegin);
    this->entriesByBegin.clear();
    for (const auto &[from, entry] : before) {
        if (from > last || entry.last < begin) {
            this->entriesByBegin[from] = entry;
            continue;
        }
        if (from < begin) {
            this->entriesByBegin[from] = entry;
            this->entriesByBegin[from].last = begin - 1;
        }
        if (entry.last > last) {
            this->entriesByBegin[last + 1] = entry;
        }
    }
}

void Grants::replaceRange(const Range &range, const Entry &entry)
{
    const auto same = this->entriesByBegin.find(range.begin);
    if (same != this->entriesByBegin.end() && same->second.last == entry.last) {
        same->second = entry;
        return;
    }
    this->clearRange(range.begin, entry.last);
    this->entriesByBegin[range.begin] = entry;
}

} // namespace bergamotweir::upstream
