#include "table/RouteTable.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <unordered_map>

namespace bergamotweir::table {

namespace {

using std::chrono::milliseconds;

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return lower;
}

RouteKind fromWire(wire::RouteKind from)
{
    switch (from) {
    case wire::ROUTE_KIND_IDEMPOTENT:
        return RouteKind::Idempotent;
    case wire::ROUTE_KIND_UPLOAD:
        return RouteKind::Upload;
    default:
        return RouteKind::NonIdempotent;
    }
}

Route fromWire(const wire::Route &from)
{
    Route route;
    route.name = from.name();
    route.host = lowerCase(from.host());
    route.prefix = from.prefix();
    route.kind = fromWire(from.kind());
    route.timeout = milliseconds(from.timeout_ms());
    route.targetLatency = milliseconds(from.target_latency_ms());
    route.priority = from.priority();
    route.attempts = from.attempts();
    for (const wire::RoutePart &part : from.parts()) {
        route.parts.push_back({part.service(), part.weight()});
    }
    return route;
}

RoutedService fromWire(const wire::RoutedService &from)
{
    return {
        .name = from.name(),
        .healthPath = from.health_path(),
        .maxConnections = from.max_connections(),
        .numberedKeys = from.numbered_keys(),
        .warmupPerSecond = from.warmup_per_second(),
        .grantsByCall = from.grant_way() == wire::GRANT_WAY_CALL,
    };
}

bool isPrefix(const std::string &text)
{
    return text.starts_with('/') && text.ends_with('/');
}

void checkParts(const wire::Route &route, const std::set<std::string> &services, Findings &findings)
{
    const std::string place = "route " + route.name();
    double total = 0;
    for (const wire::RoutePart &part : route.parts()) {
        total += part.weight();
        if (!services.contains(part.service())) {
            findings.push_back({place, "names the unknown service " + part.service(), "a service of this table"});
        }
        if (!(part.weight() >= 0)) {
            findings.push_back({place, "has a weight below 0", "0 or more"});
        }
    }
    if (!(total > 0)) {
        findings.push_back({place, "its weights add up to 0", "a part with a weight above 0"});
    }
}

void checkRoute(const wire::Route &route, const std::set<std::string> &services, Findings &findings)
{
    const std::string place = "route " + route.name();
    if (route.name().empty() || route.host().empty()) {
        findings.push_back({place, "has no name or no host", {}});
    }
    if (!isPrefix(route.prefix())) {
        findings.push_back({place, "its prefix doesn't begin and end with a slash", "/orders/"});
    }
    if (route.timeout_ms() == 0) {
        findings.push_back({place, "its timeout is 0", "1 ms or more"});
    }
    if (route.attempts() == 0) {
        findings.push_back({place, "allows no attempt", "1 or more"});
    }
    checkParts(route, services, findings);
}

/** Replaces the items of @p to that have the name of one of @p from, and adds the others. */
template<typename Items>
void upsert(Items &to, const Items &from)
{
    std::unordered_map<std::string, int> places;
    for (int place = 0; place < to.size(); ++place) {
        places[to.Get(place).name()] = place;
    }
    for (const auto &item : from) {
        const auto found = places.find(item.name());
        if (found != places.end()) {
            *to.Mutable(found->second) = item;
        } else {
            *to.Add() = item;
        }
    }
}

template<typename Items, typename Names>
void removeNamed(Items &from, const Names &names)
{
    const std::set<std::string> gone(names.begin(), names.end());
    const auto end = std::remove_if(from.begin(), from.end(), [&](const auto &item) {
        return gone.contains(item.name());
    });
    from.erase(end, from.end());
}

/** Adds to @p changed the items that are new or different, and to @p removed the names that are gone. */
template<typename Items, typename Names>
void addDifference(const Items &from, const Items &to, Items &changed, Names &removed)
{
    std::unordered_map<std::string, std::string> before;
    for (const auto &item : from) {
        before[item.name()] = item.SerializeAsString();
    }
    for (const auto &item : to) {
        const auto known = before.find(item.name());
        if (known == before.end() || known->second != item.SerializeAsString()) {
            *changed.Add() = item;
        }
        before.erase(item.name());
    }
    for (const auto &[name, text] : before) {
        removed.Add(std::string(name));
    }
}

/** Removes what a later change puts there again from the names that are gone. */
template<typename Names, typename Items>
Names withoutItems(const Names &names, const Items &items)
{
    std::set<std::string> back;
    for (const auto &item : items) {
        back.insert(item.name());
    }
    Names left;
    for (const std::string &name : names) {
        if (!back.contains(name)) {
            left.Add(std::string(name));
        }
    }
    return left;
}

} // namespace

struct RouteTable::Content {
    std::uint64_t revision = 0;
    /** By host, longest prefix first. */
    std::unordered_map<std::string, std::vector<Route>> byHost;
    std::map<std::string, RoutedService, std::less<>> services;
};

RouteTable::RouteTable()
    : content(std::make_shared<const Content>())
{
}

RouteTable::RouteTable(const wire::RouteTable &routes)
{
    auto made = std::make_shared<Content>();
    made->revision = routes.revision();
    for (const wire::Route &route : routes.routes()) {
        Route read = fromWire(route);
        made->byHost[read.host].push_back(std::move(read));
    }
    for (auto &[host, list] : made->byHost) {
        std::stable_sort(list.begin(), list.end(), [](const Route &left, const Route &right) {
            return left.prefix.size() > right.prefix.size();
        });
    }
    for (const wire::RoutedService &service : routes.services()) {
        made->services[service.name()] = fromWire(service);
    }
    this->content = std::move(made);
}

std::uint64_t RouteTable::revision() const
{
    return this->content->revision;
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto routes = this->content->byHost.find(lowerCase(host));
    if (routes == this->content->byHost.end()) {
        return nullptr;
    }
    const auto found = std::find_if(routes->second.begin(), routes->second.end(), [&](const Route &route) {
        return path.starts_with(route.prefix);
    });
    return found == routes->second.end() ? nullptr : &*found;
}

const RoutedService *RouteTable::service(std::string_view name) const
{
    const auto found = this->content->services.find(name);
    return found == this->content->services.end() ? nullptr : &found->second;
}

const std::map<std::string, RoutedService, std::less<>> &RouteTable::services() const
{
    return this->content->services;
}

Findings findingsIn(const wire::RouteTable &routes)
{
    Findings findings;
    std::set<std::string> services;
    for (const wire::RoutedService &service : routes.services()) {
        if (service.name().empty() || !services.insert(service.name()).second) {
            findings.push_back({"service " + service.name(), "has no name of its own", {}});
        }
    }
    std::set<std::string> names;
    for (const wire::Route &route : routes.routes()) {
        if (!names.insert(route.name()).second) {
            findings.push_back({"route " + route.name(), "is named twice", {}});
        }
        checkRoute(route, services, findings);
    }
    return findings;
}

wire::RouteTable withoutSources(const wire::RouteTable &routes)
{
    wire::RouteTable bare = routes;
    for (wire::Route &route : *bare.mutable_routes()) {
        route.clear_source();
    }
    for (wire::RoutedService &service : *bare.mutable_services()) {
        service.clear_source();
    }
    if (bare.has_limits()) {
        bare.mutable_limits()->clear_source();
    }
    return bare;
}

wire::PutRoutes difference(const wire::RouteTable &from, const wire::RouteTable &to)
{
    wire::PutRoutes change;
    change.set_partial(true);
    change.set_base_revision(from.revision());
    wire::RouteTable &table = *change.mutable_table();
    table.set_revision(to.revision());
    addDifference(from.routes(), to.routes(), *table.mutable_routes(), *change.mutable_removed_routes());
    addDifference(from.services(), to.services(), *table.mutable_services(), *change.mutable_removed_services());
    if (to.has_limits()) {
        *table.mutable_limits() = to.limits();
    }
    table = withoutSources(table);
    return change;
}

wire::PutRoutes joined(const wire::PutRoutes &first, const wire::PutRoutes &second)
{
    wire::PutRoutes both = second;
    *both.mutable_table() = merged(first.table(), second);
    both.set_base_revision(first.base_revision());
    *both.mutable_removed_routes() = withoutItems(first.removed_routes(), second.table().routes());
    both.mutable_removed_routes()->MergeFrom(second.removed_routes());
    *both.mutable_removed_services() = withoutItems(first.removed_services(), second.table().services());
    both.mutable_removed_services()->MergeFrom(second.removed_services());
    return both;
}

wire::RouteTable merged(const wire::RouteTable &base, const wire::PutRoutes &change)
{
    wire::RouteTable result = base;
    result.set_revision(change.table().revision());
    removeNamed(*result.mutable_routes(), change.removed_routes());
    removeNamed(*result.mutable_services(), change.removed_services());
    upsert(*result.mutable_routes(), change.table().routes());
    upsert(*result.mutable_services(), change.table().services());
    if (change.table().has_limits()) {
        *result.mutable_limits() = change.table().limits();
    }
    return result;
}

} // namespace bergamotweir::table
