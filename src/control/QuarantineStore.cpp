#include "control/QuarantineStore.h"

#include <algorithm>
#include <tuple>

namespace bergamotweir::control {

std::vector<std::uint64_t> QuarantineStore::recordCrash(const wire::ReportCrash &crash)
{
    std::vector<std::uint64_t> added;
    for (const wire::CrashSuspect &reported : crash.suspects()) {
        if (!this->suspects.contains(reported.fingerprint())) {
            this->evictOldest();
        }
        Suspect &suspect = this->suspects[reported.fingerprint()];
        suspect.lastSeenAt = std::max(suspect.lastSeenAt, fromUnixMillis(reported.unix_ms()));
        if (suspect.isQuarantined) {
            continue;
        }
        suspect.incarnations.insert(reported.upstream_incarnation());
        if (suspect.incarnations.size() >= CrashesToQuarantine) {
            suspect.isQuarantined = true;
            added.push_back(reported.fingerprint());
        }
    }
    return added;
}

std::vector<std::uint64_t> QuarantineStore::expire(UnixTime before)
{
    std::vector<std::uint64_t> released;
    for (auto suspect = this->suspects.begin(); suspect != this->suspects.end();) {
        if (suspect->second.lastSeenAt >= before) {
            ++suspect;
            continue;
        }
        if (suspect->second.isQuarantined) {
            released.push_back(suspect->first);
        }
        suspect = this->suspects.erase(suspect);
    }
    return released;
}

std::vector<std::uint64_t> QuarantineStore::quarantined() const
{
    std::vector<std::uint64_t> all;
    for (const auto &[fingerprint, suspect] : this->suspects) {
        if (suspect.isQuarantined) {
            all.push_back(fingerprint);
        }
    }
    return all;
}

std::optional<UnixTime> QuarantineStore::oldest() const
{
    std::optional<UnixTime> oldest;
    for (const auto &[fingerprint, suspect] : this->suspects) {
        oldest = std::min(oldest.value_or(suspect.lastSeenAt), suspect.lastSeenAt);
    }
    return oldest;
}

void QuarantineStore::save(wire::StateSnapshot &to) const
{
    for (const auto &[fingerprint, suspect] : this->suspects) {
        wire::QuarantineRecord &record = *to.add_quarantine();
        record.set_fingerprint(fingerprint);
        record.set_last_unix_ms(toUnixMillis(suspect.lastSeenAt));
        record.set_quarantined(suspect.isQuarantined);
        for (const std::string &incarnation : suspect.incarnations) {
            record.add_incarnations(incarnation);
        }
    }
}

void QuarantineStore::restore(const wire::StateSnapshot &from)
{
    this->suspects.clear();
    for (const wire::QuarantineRecord &record : from.quarantine()) {
        Suspect &suspect = this->suspects[record.fingerprint()];
        suspect.lastSeenAt = fromUnixMillis(record.last_unix_ms());
        suspect.isQuarantined = record.quarantined();
        suspect.incarnations.insert(record.incarnations().begin(), record.incarnations().end());
    }
}

void QuarantineStore::evictOldest()
{
    if (this->suspects.size() < MaxSuspects) {
        return;
    }
    const auto isEvictedBefore = [](const auto &left, const auto &right) {
        return std::tuple(left.second.isQuarantined, left.second.lastSeenAt)
               < std::tuple(right.second.isQuarantined, right.second.lastSeenAt);
    };
    this->suspects.erase(std::min_element(this->suspects.begin(), this->suspects.end(), isEvictedBefore));
}

} // namespace bergamotweir::control
