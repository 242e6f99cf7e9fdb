#include "control/QuarantineStore.h"

#include <algorithm>
#include <tuple>

namespace bergamotweir::control {

std::vector<std::uint64_t> QuarantineStore::report(const wire::ReportCrash &crash)
{
    std::vector<std::uint64_t> added;
    for (const wire::CrashSuspect &reported : crash.suspects()) {
        if (!this->suspects.contains(reported.fingerprint())) {
            this->makeRoom();
        }
        Suspect &suspect = this->suspects[reported.fingerprint()];
        suspect.lastSeen = std::max(suspect.lastSeen, fromUnixMillis(reported.unix_ms()));
        if (suspect.quarantined) {
            continue;
        }
        suspect.incarnations.insert(reported.upstream_incarnation());
        if (suspect.incarnations.size() >= CrashesToQuarantine) {
            suspect.quarantined = true;
            added.push_back(reported.fingerprint());
        }
    }
    return added;
}

std::vector<std::uint64_t> QuarantineStore::expire(UnixTime before)
{
    std::vector<std::uint64_t> left;
    for (auto suspect = this->suspects.begin(); suspect != this->suspects.end();) {
        if (suspect->second.lastSeen >= before) {
            ++suspect;
            continue;
        }
        if (suspect->second.quarantined) {
            left.push_back(suspect->first);
        }
        suspect = this->suspects.erase(suspect);
    }
    return left;
}

std::vector<std::uint64_t> QuarantineStore::quarantined() const
{
    std::vector<std::uint64_t> all;
    for (const auto &[fingerprint, suspect] : this->suspects) {
        if (suspect.quarantined) {
            all.push_back(fingerprint);
        }
    }
    return all;
}

std::optional<UnixTime> QuarantineStore::oldest() const
{
    std::optional<UnixTime> oldest;
    for (const auto &[fingerprint, suspect] : this->suspects) {
        oldest = std::min(oldest.value_or(suspect.lastSeen), suspect.lastSeen);
    }
    return oldest;
}

void QuarantineStore::save(wire::StateSnapshot &to) const
{
    for (const auto &[fingerprint, suspect] : this->suspects) {
        wire::QuarantineRecord &record = *to.add_quarantine();
        record.set_fingerprint(fingerprint);
        record.set_last_unix_ms(toUnixMillis(suspect.lastSeen));
        record.set_quarantined(suspect.quarantined);
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
        suspect.lastSeen = fromUnixMillis(record.last_unix_ms());
        suspect.quarantined = record.quarantined();
        suspect.incarnations.insert(record.incarnations().begin(), record.incarnations().end());
    }
}

void QuarantineStore::makeRoom()
{
    if (this->suspects.size() < MaxSuspects) {
        return;
    }
    const auto older = [](const auto &left, const auto &right) {
        return std::tuple(left.second.quarantined, left.second.lastSeen)
               < std::tuple(right.second.quarantined, right.second.lastSeen);
    };
    this->suspects.erase(std::min_element(this->suspects.begin(), this->suspects.end(), older));
}

} // namespace bergamotweir::control
