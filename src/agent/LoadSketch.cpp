#include "agent/LoadSketch.h"

#include <algorithm>

namespace bergamotweir::agent {

namespace {

void trackKey(std::vector<TrackedKey> &keys, std::uint64_t hash)
{
    const auto known = std::find_if(keys.begin(), keys.end(), [hash](const TrackedKey &key) {
        return key.hash == hash;
    });
    if (known != keys.end()) {
        ++known->count;
        return;
    }
    if (keys.size() < LoadSketch::MaxTrackedKeys) {
        keys.push_back({.hash = hash, .count = 1, .error = 0});
        return;
    }
    const auto lightest =
        std::min_element(keys.begin(), keys.end(), [](const TrackedKey &left, const TrackedKey &right) {
            return left.count < right.count;
        });
    *lightest = {.hash = hash, .count = lightest->count + 1, .error = lightest->count};
}

ServiceLoad &loadOf(LoadSketch &sketch, std::string_view service)
{
    const auto load = sketch.services.find(service);
    return load == sketch.services.end() ? sketch.services.emplace(service, ServiceLoad{}).first->second : load->second;
}

void reportWork(const std::string &service,
                const ServiceLoad &load,
                const RouteMap &map,
                const Ownership &ownership,
                wire::Renew &renew)
{
    if (load.answers == 0) {
        return;
    }
    for (const std::uint32_t own : ownership.ownUpstreams) {
        const wire::UpstreamInfo *known = findUpstream(map, own);
        if (known == nullptr || known->service() != service || !known->serving()) {
            continue;
        }
        wire::UpstreamWork &entry = *renew.add_work();
        entry.set_service(service);
        entry.set_upstream(own);
        entry.set_mean_seconds(std::chrono::duration<float>(load.worked).count() / static_cast<float>(load.answers));
        entry.set_answers(load.answers);
    }
}

float perSecond(std::uint64_t count, double seconds)
{
    return static_cast<float>(static_cast<double>(count) / seconds);
}

void reportSlices(const std::string &service,
                  const std::vector<Slice> &slices,
                  const ServiceLoad &load,
                  const Ownership &ownership,
                  double seconds,
                  wire::Renew &renew)
{
    for (const Slice &slice : slices) {
        if (!ownership.ownUpstreams.contains(slice.owner)) {
            continue;
        }
        const auto count = load.slices.find(slice.begin);
        wire::SliceLoad &entry = *renew.add_loads();
        entry.set_service(service);
        entry.set_begin(slice.begin);
        entry.set_rate(count == load.slices.end() ? 0 : perSecond(count->second, seconds));
    }
}

void reportHotKeys(const std::string &service, ServiceLoad &load, double seconds, wire::Renew &renew)
{
    const double minCount = LoadSketch::MinReportedShare * static_cast<double>(load.requests);
    std::erase_if(load.keys, [minCount](const TrackedKey &key) {
        return static_cast<double>(key.count - key.error) < minCount;
    });
    std::sort(load.keys.begin(), load.keys.end(), [](const TrackedKey &left, const TrackedKey &right) {
        return left.count - left.error > right.count - right.error;
    });
    for (std::size_t number = 0; number < std::min(load.keys.size(), LoadSketch::MaxReportedKeys); ++number) {
        wire::HotKey &entry = *renew.add_hot_keys();
        entry.set_service(service);
        entry.set_hash(load.keys[number].hash);
        entry.set_rate(perSecond(load.keys[number].count - load.keys[number].error, seconds));
    }
}

} // namespace

void countRequest(LoadSketch &sketch, const RouteMap &map, std::string_view service, std::uint64_t hash)
{
    const std::optional<Slice> slice = findSlice(map, service, hash);
    if (!slice) {
        return;
    }
    ServiceLoad &load = loadOf(sketch, service);
    ++load.requests;
    ++load.slices[slice->begin];
    trackKey(load.keys, hash);
}

void countAnswer(LoadSketch &sketch, std::string_view service, std::chrono::nanoseconds worked)
{
    ServiceLoad &load = loadOf(sketch, service);
    ++load.answers;
    load.worked += worked;
}

void reportLoad(LoadSketch &sketch, const RouteMap &map, const Ownership &ownership, BootTime now, wire::Renew &renew)
{
    const double seconds = std::chrono::duration<double>(now - sketch.since).count();
    if (seconds <= 0) {
        return;
    }
    for (const auto &[service, slices] : map.slices) {
        ServiceLoad &load = sketch.services[service];
        reportSlices(service, slices, load, ownership, seconds, renew);
        reportHotKeys(service, load, seconds, renew);
    }
    for (const auto &[service, load] : sketch.services) {
        reportWork(service, load, map, ownership, renew);
    }
    sketch.services.clear();
    sketch.since = now;
}

} // namespace bergamotweir::agent
