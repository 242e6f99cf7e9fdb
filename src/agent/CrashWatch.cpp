#include "agent/CrashWatch.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace bergamotweir::agent {

std::uint64_t fingerprint(const RequestContent &content)
{
    const std::array<std::string_view, 5> parts{
        content.service, content.key, content.method, content.target, content.body};
    // Each part's hash seeds the next one's, so that text can't move from one part to its neighbour unseen.
    std::uint64_t hash = 0;
    for (const std::string_view part : parts) {
        hash = XXH3_64bits_withSeed(part.data(), part.size(), hash + part.size());
    }
    return hash;
}

void remember(RecentFingerprints &recent, std::uint64_t value)
{
    forget(recent, value);
    recent.order.push_back(value);
    recent.places[value] = std::prev(recent.order.end());
    if (recent.order.size() > recent.most) {
        forget(recent, recent.order.front());
    }
}

void forget(RecentFingerprints &recent, std::uint64_t value)
{
    const auto found = recent.places.find(value);
    if (found == recent.places.end()) {
        return;
    }
    recent.order.erase(found->second);
    recent.places.erase(found);
}

bool contains(const RecentFingerprints &recent, std::uint64_t value)
{
    return recent.places.contains(value);
}

void suspect(CrashWatch &watch, std::uint64_t value)
{
    if (!contains(watch.answered, value)) {
        remember(watch.suspects, value);
    }
}

bool isSuspect(const CrashWatch &watch, std::uint64_t value)
{
    return contains(watch.suspects, value);
}

bool mayRun(const CrashWatch &watch, std::uint64_t value)
{
    if (!isSuspect(watch, value)) {
        return true;
    }
    return std::none_of(watch.inProgress.begin(), watch.inProgress.end(), [&](const auto &entry) {
        return isSuspect(watch, entry.first);
    });
}

void began(CrashWatch &watch, std::uint64_t value)
{
    watch.inProgress[value]++;
}

void ended(CrashWatch &watch, std::uint64_t value, bool answered)
{
    if (const auto found = watch.inProgress.find(value); found != watch.inProgress.end() && --found->second == 0) {
        watch.inProgress.erase(found);
    }
    if (answered) {
        forget(watch.suspects, value);
        remember(watch.answered, value);
    }
}

wire::ReportCrash crashed(CrashWatch &watch,
                          const std::set<std::uint64_t> &broken,
                          const std::string &incarnation,
                          std::chrono::milliseconds unixTime)
{
    const bool knowsSuspect = std::any_of(broken.begin(), broken.end(), [&](std::uint64_t value) {
        return isSuspect(watch, value);
    });
    wire::ReportCrash report;
    for (const std::uint64_t value : broken) {
        const bool blamed = knowsSuspect ? isSuspect(watch, value) : !contains(watch.answered, value);
        if (!blamed) {
            continue;
        }
        wire::CrashSuspect *entry = report.add_suspects();
        entry->set_fingerprint(value);
        entry->set_upstream_incarnation(incarnation);
        entry->set_unix_ms(static_cast<std::uint64_t>(unixTime.count()));
        remember(watch.suspects, value);
    }
    return report;
}

} // namespace bergamotweir::agent
