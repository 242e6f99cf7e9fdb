#pragma once

#include "base/BootClock.h"
#include "control.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace bergamotweir::control {

class SliceMap;
struct LoadedSlice;

/**
 * Smooths the loads that owners report. Volatile: a new leader starts from the widths of slices and collects reports
 * again.
 * Owned by the coordinator.
 */
class LoadTracker
{
public:
    /**
     * Share of a new report in the smoothed rate. Reports arrive every second, and the set of busy keys changes within
     * seconds.
     */
    static constexpr double SmoothingFactor = 0.3;
    /** Maximum number of hot keys kept for a service; the coldest one is evicted for a new one. */
    static constexpr std::size_t MaxHotKeys = 1024;

    /** Adds the loads that one heartbeat reported. */
    void report(const wire::Renew &renew, BootTime now);

    /**
     * Sets the share of the service's load of every slice: four fifths by measured rate and the rest by width, so that
     * slices without requests are balanced too; by width alone where too little was measured.
     */
    void distributeLoad(const std::string &service, const SliceMap &map, std::vector<LoadedSlice> &slices) const;

    /** @return hashes of recently reported keys with at least @p share of the service's request rate */
    std::vector<std::uint64_t> hotKeys(const std::string &service, double share, BootTime now) const;

    /**
     * Computes the relative speed of upstreams, by which target loads are scaled. With equal loads the upstreams with
     * the longest work time per request would refuse requests as overloaded while fast ones are idle.
     * The record of an upstream that has answered nothing for a minute is removed.
     * @return by upstream, its speed relative to the mean of its service; an upstream without an entry counts as 1
     */
    std::unordered_map<std::uint32_t, double> relativeSpeeds(const std::string &service, BootTime now);

    /**
     * Returns how much more load upstreams could take before they are busy, as a multiple of their load; at least 1.
     * Below that load, differences between upstreams don't delay requests, and with few requests to each upstream they
     * are chance.
     * @param slots the slots of all upstreams of the service together
     * @return 1 if the load isn't known
     */
    double headroom(const std::string &service, double slots, BootTime now) const;

    /** @return requests per second to all keys of the service; 0 if too few were counted to place load by them */
    double requestRate(const std::string &service) const;

    /** @return mean over the service's upstreams of the time that each works on a request; 0 if not known */
    double meanWorkSeconds(const std::string &service) const;

    /** Removes all records. */
    void clear();

private:
    struct HotKey {
        double rate = 0;
        BootTime reportedAt;
    };

    /** Work time of an upstream per request. */
    struct WorkTime {
        /** Smoothed mean. */
        double seconds = 0;
        /** Answers that the mean is based on, up to HalfWeightAnswers. */
        double answers = 0;
        /** Smoothed answers a second. */
        double rate = 0;
        BootTime reportedAt;
    };

    struct Service {
        std::map<std::uint64_t, double> rates;
        std::map<std::uint64_t, HotKey> hotKeys;
        std::unordered_map<std::uint32_t, WorkTime> workTimes;
    };

    static void recordWork(WorkTime &time, const wire::UpstreamWork &work, BootTime now);
    double totalRate(const Service &service) const;

    std::map<std::string, Service> services;
};

} // namespace bergamotweir::control
