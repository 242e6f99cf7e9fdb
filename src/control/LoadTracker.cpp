#include "control/LoadTracker.h"

#include "control/Assignment.h"
#include "control/SliceMap.h"

#include <algorithm>

namespace bergamotweir::control {

namespace {

/**
 * Requests per second of the whole service below which the rate of a slice doesn't predict the next seconds, and moves
 * cost more than the balance gains.
 */
constexpr double MinMeasuredRate = 40;
/** Part of a slice's load given by its measured rate. Busy keys are adjacent, so the width is a poor estimate. */
constexpr double MeasuredWeight = 0.8;
constexpr std::chrono::seconds MaxHotKeyAge{10};
/** Requests per second of a key below which it is no hot key: a few requests within one second are chance. */
constexpr double MinHotKeyRate = 5;
constexpr std::chrono::minutes MaxWorkTimeAge{1};
/**
 * Number of answers at which a report counts as much as all reports before it, at most. Reports of few answers count
 * less, because work times vary between requests.
 */
constexpr double HalfWeightAnswers = 60;
/** Bounds of an upstream's relative speed, and so of its target load as a multiple of an equal share. */
constexpr double MinRelativeSpeed = 0.3;
constexpr double MaxRelativeSpeed = 3;
/** Fraction of the slots in use from which on an upstream is busy. */
constexpr double BusyUtilization = 0.4;

/** Interval of reports that is assumed for an upstream's first one, and the minimum of later ones. */
constexpr std::chrono::duration<double> MinReportInterval{0.5};
constexpr std::chrono::duration<double> FirstReportInterval{1};
/** Upstreams without an answer for longer are idle. */
constexpr std::chrono::seconds MaxRateAge{5};

} // namespace

void LoadTracker::recordWork(WorkTime &time, const wire::UpstreamWork &work, BootTime now)
{
    const double answers = work.answers();
    time.seconds += answers / (time.answers + answers) * (work.mean_seconds() - time.seconds);
    const std::chrono::duration<double> interval =
        time.answers == 0 ? FirstReportInterval
                          : std::max<std::chrono::duration<double>>(now - time.reportedAt, MinReportInterval);
    const double rate = answers / interval.count();
    time.rate += (time.answers == 0 ? 1 : SmoothingFactor) * (rate - time.rate);
    time.answers = std::min(time.answers + answers, HalfWeightAnswers);
    time.reportedAt = now;
}

void LoadTracker::report(const wire::Renew &renew, BootTime now)
{
    for (const wire::SliceLoad &load : renew.loads()) {
        double &rate = this->services[load.service()].rates[load.begin()];
        rate += SmoothingFactor * (load.rate() - rate);
    }
    for (const wire::UpstreamWork &work : renew.work()) {
        if (!(work.mean_seconds() > 0) || work.answers() == 0) {
            continue;
        }
        recordWork(this->services[work.service()].workTimes[work.upstream()], work, now);
    }
    for (const wire::HotKey &key : renew.hot_keys()) {
        Service &service = this->services[key.service()];
        if (service.hotKeys.size() >= MaxHotKeys && !service.hotKeys.contains(key.hash())) {
            service.hotKeys.erase(std::min_element(
                service.hotKeys.begin(), service.hotKeys.end(), [](const auto &left, const auto &right) {
                    return left.second.rate < right.second.rate;
                }));
        }
        service.hotKeys[key.hash()] = {key.rate(), now};
    }
}

std::unordered_map<std::uint32_t, double> LoadTracker::relativeSpeeds(const std::string &service, BootTime now)
{
    std::unordered_map<std::uint32_t, double> relativeSpeeds;
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return relativeSpeeds;
    }
    std::erase_if(found->second.workTimes, [&](const auto &entry) {
        return entry.second.reportedAt + MaxWorkTimeAge < now;
    });
    double total = 0;
    for (const auto &[upstream, time] : found->second.workTimes) {
        total += 1 / time.seconds;
    }
    const double mean = total / static_cast<double>(found->second.workTimes.size());
    for (const auto &[upstream, time] : found->second.workTimes) {
        relativeSpeeds[upstream] = std::clamp(1 / time.seconds / mean, MinRelativeSpeed, MaxRelativeSpeed);
    }
    return relativeSpeeds;
}

void LoadTracker::distributeLoad(const std::string &service,
                                 const SliceMap &map,
                                 std::vector<LoadedSlice> &slices) const
{
    const auto found = this->services.find(service);
    double total = 0;
    std::vector<double> rates(slices.size());
    for (std::size_t number = 0; found != this->services.end() && number < slices.size(); ++number) {
        const auto rate = found->second.rates.find(slices[number].begin);
        rates[number] = rate == found->second.rates.end() ? 0 : rate->second;
        total += rates[number];
    }
    const double measured = total < MinMeasuredRate ? 0 : MeasuredWeight;
    for (std::size_t number = 0; number < slices.size(); ++number) {
        const double width = map.width(map.at(slices[number].begin));
        const double rate = measured > 0 ? rates[number] / total : 0;
        slices[number].load = measured * rate + (1 - measured) * width;
    }
}

std::vector<std::uint64_t> LoadTracker::hotKeys(const std::string &service, double share, BootTime now) const
{
    std::vector<std::uint64_t> hot;
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return hot;
    }
    const double total = this->totalRate(found->second);
    if (total < MinMeasuredRate) {
        return hot;
    }
    for (const auto &[hash, key] : found->second.hotKeys) {
        if (key.reportedAt + MaxHotKeyAge > now && key.rate >= std::max(share * total, MinHotKeyRate)) {
            hot.push_back(hash);
        }
    }
    return hot;
}

double LoadTracker::headroom(const std::string &service, double slots, BootTime now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return 1;
    }
    double rate = 0;
    double slotsInUse = 0;
    for (const auto &[upstream, time] : found->second.workTimes) {
        if (now - time.reportedAt <= MaxRateAge) {
            rate += time.rate;
            slotsInUse += time.rate * time.seconds;
        }
    }
    return rate < MinMeasuredRate ? 1 : std::max(1.0, BusyUtilization * slots / slotsInUse);
}

double LoadTracker::requestRate(const std::string &service) const
{
    const auto found = this->services.find(service);
    const double rate = found == this->services.end() ? 0 : this->totalRate(found->second);
    return rate < MinMeasuredRate ? 0 : rate;
}

double LoadTracker::meanWorkSeconds(const std::string &service) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || found->second.workTimes.empty()) {
        return 0;
    }
    double total = 0;
    for (const auto &[upstream, time] : found->second.workTimes) {
        total += time.seconds;
    }
    return total / static_cast<double>(found->second.workTimes.size());
}

void LoadTracker::clear()
{
    this->services.clear();
}

double LoadTracker::totalRate(const Service &service) const
{
    double total = 0;
    for (const auto &[begin, rate] : service.rates) {
        total += rate;
    }
    return total;
}

} // namespace bergamotweir::control
