#include "control/LoadBook.h"

#include "control/Assignment.h"
#include "control/SliceMap.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace bergamotweir::control {

namespace {

/**
 * Below this many requests a second in all, a slice's rate says little about the next seconds, and moves cost more than
 * they even out.
 */
constexpr double LeastMeasuredRate = 40;
/** Part of a slice's load that goes by its measured rate. Busy keys are neighbours, so widths say little. */
constexpr double MeasuredPart = 0.8;
constexpr std::chrono::seconds HotKeyAge{10};
constexpr std::chrono::minutes WorkTimeAge{1};
/** A report of so many answers counts as much as all before it: times of single requests vary by their length. */
constexpr double HalfLifeAnswers = 60;
/** No upstream gets less or more than this times an equal share, however slow or fast it seems. */
constexpr double SlowestShare = 0.3;
constexpr double FastestShare = 3;

/** Longest time that a report covers. */
constexpr std::chrono::milliseconds ReportSpan{1500};
/** Standard deviations beyond which a rate has changed and not merely varied. */
constexpr double BeyondChance = 3;
/** A slice is cut when it carries more than this part of an upstream's rightful load, ... */
constexpr double HeavyPart = 0.6;
/** ... into parts that carry so much of it. */
constexpr double PiecePart = 0.3;
/** Parts of one slice at most: what a few upstreams can't take in one round of moves needn't be cut finer. */
constexpr double MostPieces = 32;
/** One key with this share of its slice's rate is cut out by itself. */
constexpr double SingleKeyShare = 0.5;
/** A slice with less than this part of an upstream's rightful load is cold. */
constexpr double WarmPart = 0.05;

/** @return the share of a new rate: whole where the counts of about a second differ by more than chance explains */
double weightOf(double reported, double smoothed)
{
    const double change = reported - smoothed;
    return change * change > BeyondChance * BeyondChance * (reported + smoothed) ? 1 : LoadBook::Weight;
}

} // namespace

void LoadBook::report(const wire::Renew &renew, BootTime now)
{
    for (const wire::SliceLoad &load : renew.loads()) {
        Service &service = this->services[load.service()];
        const auto cut = service.cutAt.find(load.begin());
        if (cut != service.cutAt.end() && now < cut->second + ReportSpan) {
            continue;
        }
        double &rate = service.rates[load.begin()];
        rate += weightOf(load.rate(), rate) * (load.rate() - rate);
    }
    for (const wire::UpstreamWork &work : renew.work()) {
        if (!(work.mean_seconds() > 0)) {
            continue;
        }
        const double answers = work.answers();
        const auto [known, added] =
            this->services[work.service()].workTimes.try_emplace(work.upstream(), WorkTime{work.mean_seconds(), now});
        WorkTime &time = known->second;
        time.seconds += answers / (answers + HalfLifeAnswers) * (work.mean_seconds() - time.seconds);
        time.reported = now;
    }
    for (const wire::HotKey &key : renew.hot_keys()) {
        Service &service = this->services[key.service()];
        if (service.hotKeys.size() >= MostHotKeys && !service.hotKeys.contains(key.hash())) {
            service.hotKeys.erase(std::min_element(
                service.hotKeys.begin(), service.hotKeys.end(), [](const auto &left, const auto &right) {
                    return left.second.rate < right.second.rate;
                }));
        }
        service.hotKeys[key.hash()] = {key.rate(), now};
    }
}

std::unordered_map<std::uint32_t, double> LoadBook::speeds(const std::string &service, BootTime now)
{
    std::unordered_map<std::uint32_t, double> speeds;
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return speeds;
    }
    std::erase_if(found->second.workTimes, [&](const auto &entry) {
        return entry.second.reported + WorkTimeAge < now;
    });
    double total = 0;
    for (const auto &[upstream, time] : found->second.workTimes) {
        total += 1 / time.seconds;
    }
    const double mean = total / static_cast<double>(found->second.workTimes.size());
    for (const auto &[upstream, time] : found->second.workTimes) {
        speeds[upstream] = std::clamp(1 / time.seconds / mean, SlowestShare, FastestShare);
    }
    return speeds;
}

void LoadBook::weigh(const std::string &service, const SliceMap &map, std::vector<LoadedSlice> &slices) const
{
    const auto found = this->services.find(service);
    double total = 0;
    std::vector<double> rates(slices.size());
    for (std::size_t number = 0; found != this->services.end() && number < slices.size(); ++number) {
        const auto rate = found->second.rates.find(slices[number].begin);
        rates[number] = rate == found->second.rates.end() ? 0 : rate->second;
        total += rates[number];
    }
    const double measured = total < LeastMeasuredRate ? 0 : MeasuredPart;
    for (std::size_t number = 0; number < slices.size(); ++number) {
        const double width = map.width(map.at(slices[number].begin));
        const double rate = measured > 0 ? rates[number] / total : 0;
        slices[number].load = measured * rate + (1 - measured) * width;
    }
}

double LoadBook::hottestKey(const Service &service, std::uint64_t begin, std::uint64_t end, BootTime now) const
{
    double most = 0;
    for (auto key = service.hotKeys.lower_bound(begin); key != service.hotKeys.end(); ++key) {
        if (end != 0 && key->first >= end) {
            break;
        }
        if (key->second.reported + HotKeyAge > now) {
            most = std::max(most, key->second.rate);
        }
    }
    return most;
}

RangeLoads
LoadBook::rangeLoads(const std::string &service, const SliceMap &map, std::size_t upstreams, BootTime now) const
{
    RangeLoads loads;
    const auto found = this->services.find(service);
    const double total = found == this->services.end() ? 0 : this->totalRate(found->second);
    if (total < LeastMeasuredRate || upstreams == 0) {
        return loads;
    }
    const double rightful = total / static_cast<double>(upstreams);
    for (auto slice = map.slices().begin(); slice != map.slices().end(); ++slice) {
        const auto known = found->second.rates.find(slice->first);
        const double rate = known == found->second.rates.end() ? 0 : known->second;
        if (rate > WarmPart * rightful) {
            loads.warm.insert(slice->first);
        }
        const auto next = std::next(slice);
        const std::uint64_t end = next == map.slices().end() ? 0 : next->first;
        if (rate > HeavyPart * rightful
            && this->hottestKey(found->second, slice->first, end, now) < SingleKeyShare * rate) {
            const double pieces = std::min(std::ceil(rate / (PiecePart * rightful)), MostPieces);
            loads.heavy.push_back({slice->first, static_cast<std::size_t>(pieces)});
        }
    }
    return loads;
}

void LoadBook::split(const std::string &service, const SliceMap &map, const SliceSplits &splits, BootTime now)
{
    Service &known = this->services[service];
    std::erase_if(known.cutAt, [now](const auto &entry) {
        return entry.second + ReportSpan < now;
    });
    std::map<std::uint64_t, std::vector<std::uint64_t>> parts;
    for (const std::uint64_t begin : splits.added) {
        parts[map.at(begin)->first].push_back(begin);
    }
    for (const auto &[whole, added] : parts) {
        const auto rate = known.rates.find(whole);
        if (rate == known.rates.end()) {
            continue;
        }
        const double each = rate->second / static_cast<double>(added.size() + 1);
        rate->second = each;
        known.cutAt[whole] = now;
        for (const std::uint64_t begin : added) {
            known.rates[begin] = each;
            known.cutAt[begin] = now;
        }
    }
    for (const std::uint64_t begin : splits.merged) {
        const auto rate = known.rates.find(begin);
        if (rate != known.rates.end()) {
            known.rates[std::prev(map.at(begin))->first] += rate->second;
            known.rates.erase(rate);
        }
    }
}

std::vector<std::uint64_t> LoadBook::hotKeys(const std::string &service, double share, BootTime now) const
{
    std::vector<std::uint64_t> hot;
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return hot;
    }
    const double total = this->totalRate(found->second);
    if (total < LeastMeasuredRate) {
        return hot;
    }
    for (const auto &[hash, key] : found->second.hotKeys) {
        if (key.reported + HotKeyAge > now && key.rate >= share * total) {
            hot.push_back(hash);
        }
    }
    return hot;
}

void LoadBook::clear()
{
    this->services.clear();
}

double LoadBook::totalRate(const Service &service) const
{
    double total = 0;
    for (const auto &[begin, rate] : service.rates) {
        total += rate;
    }
    return total;
}

} // namespace bergamotweir::control
