#include "agent/CrashTracker.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace bergamotweir::agent {

std::uint64_t fingerprint(const RequestContent &content)
{
    const std::array<std::string_view, 5> parts{
        content.service, content.key, content.method, content.target, content.body};
    // The hash of each part seeds the next one, so that the same text split differently into parts hashes differently.
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
    recent.positions[value] = std::prev(recent.order.end());
    if (recent.order.size() > recent.capacity) {
        forget(recent, recent.order.front());
    }
}

void forget(RecentFingerprints &recent, std::uint64_t value)
{
    const auto found = recent.positions.find(value);
    if (found == recent.positions.end()) {
        return;
    }
    recent.order.erase(found->second);
    recent.positions.erase(found);
}

bool contains(const RecentFingerprints &recent, std::uint64_t value)
{
    return recent.positions.contains(value);
}

void markSuspect(CrashTracker &tracker, std::uint64_t value)
{
    if (!contains(tracker.answered, value)) {
        remember(tracker.suspects, value);
    }
}

bool isSuspect(const CrashTracker &tracker, std::uint64_t value)
{
    return contains(tracker.suspects, value);
}

bool canRun(const CrashTracker &tracker, std::uint64_t value)
{
    if (!isSuspect(tracker, value)) {
        return true;
    }
    return std::none_of(tracker.inProgress.begin(), tracker.inProgress.end(), [&](const auto &entry) {
        return isSuspect(tracker, entry.first);
    });
}

void recordBegin(CrashTracker &tracker, std::uint64_t value)
{
    tracker.inProgress[value]++;
}

void recordEnd(CrashTracker &tracker, std::uint64_t value, bool answered)
{
    if (const auto found = tracker.inProgress.find(value); found != tracker.inProgress.end() && --found->second == 0) {
        tracker.inProgress.erase(found);
    }
    if (answered) {
        forget(tracker.suspects, value);
        remember(tracker.answered, value);
    }
}

wire::ReportCrash recordCrash(CrashTracker &tracker,
                              const std::set<std::uint64_t> &broken,
                              const std::string &incarnation,
                              std::chrono::milliseconds unixTime)
{
    const bool knowsSuspect = std::any_of(broken.begin(), broken.end(), [&](std::uint64_t value) {
        return isSuspect(tracker, value);
    });
    wire::ReportCrash report;
    for (const std::uint64_t value : broken) {
        const bool blamed = knowsSuspect ? isSuspect(tracker, value) : !contains(tracker.answered, value);
        if (!blamed) {
            continue;
        }
        wire::CrashSuspect *entry = report.add_suspects();
        entry->set_fingerprint(value);
        entry->set_upstream_incarnation(incarnation);
        entry->set_unix_ms(static_cast<std::uint64_t>(unixTime.count()));
        remember(tracker.suspects, value);
    }
    return report;
}

} // namespace bergamotweir::agent
