#pragma once

#include "base/UnixTime.h"
#include "control.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bergamotweir::control {

/**
 * Requests that were in progress when upstreams crashed, by fingerprint.
 * Owned by the replicated state; every method is deterministic.
 *
 * Guards against one request that crashes every upstream which runs it while its caller sends it again: after crashes
 * of two incarnations it is refused everywhere. Reports of one crash count once, however often they are sent.
 */
class QuarantineStore
{
public:
    /** Crashes of different incarnations that put a request into quarantine. */
    static constexpr std::size_t CrashesToQuarantine = 2;
    /** Most fingerprints kept; beyond it, the suspect seen longest ago makes room. */
    static constexpr std::size_t MaxSuspects = 4096;

    /** Counts suspects of a crash. @return the fingerprints newly in quarantine */
    std::vector<std::uint64_t> report(const wire::ReportCrash &crash);

    /** Forgets what was last seen before a moment. @return the fingerprints that leave quarantine */
    std::vector<std::uint64_t> expire(UnixTime before);

    /** @return all fingerprints in quarantine */
    std::vector<std::uint64_t> quarantined() const;

    /** @return when the record seen longest ago was last seen, nothing when there is none */
    std::optional<UnixTime> oldest() const;

    /** Adds everything to a snapshot. */
    void save(wire::StateSnapshot &to) const;

    /** Replaces everything by a snapshot's. */
    void restore(const wire::StateSnapshot &from);

private:
    struct Suspect {
        std::set<std::string> incarnations;
        UnixTime lastSeen;
        bool quarantined = false;
    };

    void makeRoom();

    std::map<std::uint64_t, Suspect> suspects;
};

} // namespace bergamotweir::control
