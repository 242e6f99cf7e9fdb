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
 * Stores requests that were in progress when upstreams crashed, by fingerprint.
 * Owned by the replicated state; every method is deterministic.
 *
 * Guards against a request that its caller keeps resending and that crashes each upstream that runs it: after crashes
 * of two incarnations it is refused everywhere. Repeated reports of the same crash are counted once.
 */
class QuarantineStore
{
public:
    /** Number of different upstream incarnations whose crashes put a request into quarantine. */
    static constexpr std::size_t CrashesToQuarantine = 2;
    /**
     * Maximum number of fingerprints. Beyond it the suspect seen longest ago is evicted, suspects that are not in
     * quarantine first.
     */
    static constexpr std::size_t MaxSuspects = 4096;

    /** Records the suspects of a crash. @return the fingerprints newly in quarantine */
    std::vector<std::uint64_t> recordCrash(const wire::ReportCrash &crash);

    /** Removes the suspects last seen before @p before. @return the fingerprints released from quarantine */
    std::vector<std::uint64_t> expire(UnixTime before);

    /** @return all fingerprints in quarantine */
    std::vector<std::uint64_t> quarantined() const;

    /** @return the earliest time at which any suspect was last seen; nothing when there are no suspects */
    std::optional<UnixTime> oldest() const;

    /** Adds all suspects to a snapshot. */
    void save(wire::StateSnapshot &to) const;

    /** Replaces all suspects with those of a snapshot. */
    void restore(const wire::StateSnapshot &from);

private:
    struct Suspect {
        std::set<std::string> incarnations;
        UnixTime lastSeenAt;
        bool isQuarantined = false;
    };

    void evictOldest();

    std::map<std::uint64_t, Suspect> suspects;
};

} // namespace bergamotweir::control
