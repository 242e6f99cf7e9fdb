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
 * The loads that owners report, smoothed. Volatile: a new leader starts from the widths of slices and learns again.
 * Owned by the coordinator.
 */
class LoadTracker
{
public:
    /** Share of a new report in the smoothed rate: which keys are busy changes within seconds, and reports come each.
     */
    static constexpr double Weight = 0.3;
    /** Hot keys remembered for a service; the coldest one makes room. */
    static constexpr std::size_t MaxHotKeys = 1024;

    /** Takes in what one heartbeat told. */
    void report(const wire::Renew &renew, BootTime now);

    /**
     * Gives every slice its share of the service's load: four fifths by measured rate and the rest by width, so
     * that slices nobody asks for are shared out too; by width alone where too little was measured.
     */
    void distributeLoad(const std::string &service, const SliceMap &map, std::vector<LoadedSlice> &slices) const;

    /** @return hashes of the keys which carry at least @p share of the service's rate, reported lately */
    std::vector<std::uint64_t> hotKeys(const std::string &service, double share, BootTime now) const;

    /**
     * Guards against a slow upstream that drowns while others idle. It shows as refusals at the upstreams that work
     * longest on a request, each of which has as many requests as a fast one. Rightful shares follow the speed seen.
     * An upstream that has answered nothing for a minute is forgotten.
     * @return by upstream, how fast it is against the mean of its service; who isn't among them counts as 1
     */
    std::unordered_map<std::uint32_t, double> relativeSpeeds(const std::string &service, BootTime now);

    /** Forgets everything. */
    void clear();

private:
    struct HotKey {
        double rate = 0;
        BootTime reported;
    };

    /** How long an upstream works on a request. */
    struct WorkTime {
        /** Smoothed. */
        double seconds = 0;
        BootTime reported;
    };

    struct Service {
        std::map<std::uint64_t, double> rates;
        std::map<std::uint64_t, HotKey> hotKeys;
        std::unordered_map<std::uint32_t, WorkTime> workTimes;
    };

    double totalRate(const Service &service) const;

    std::map<std::string, Service> services;
};

} // namespace bergamotweir::control
