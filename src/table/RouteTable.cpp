#include "table/RouteTable.h"

#include "table/KeyDigest.h"

#include <algorithm>
#include <cctype>
#include <cstring>
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
    route.allowsKeylessCallers = from.keyless_callers();
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

Workspace fromWire(const wire::Workspace &from)
{
    Workspace workspace;
    workspace.name = from.name();
    if (from.has_priority()) {
        workspace.priority = from.priority();
    }
    workspace.ratePerSecond = from.rate_per_second();
    workspace.burst = from.burst();
    return workspace;
}

/** Uses the first bytes of a digest as its hash, as digests are uniformly distributed. */
struct DigestHash {
    std::size_t operator()(const std::string &digest) const
    {
        std::size_t hash = 0;
        std::memcpy(&hash, digest.data(), std::min(sizeof hash, digest.size()));
        return hash;
    }
};

struct DigestEqual {
    bool operator()(const std::string &left, const std::string &right) const
    {
        return equalDigests(left, right);
    }
};

bool isValidPrefix(const std::string &text)
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
    if (!isValidPrefix(route.prefix())) {
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

void checkWorkspaces(const wire::RouteTable &routes, Findings &findings)
{
    std::set<std::string> names;
    std::unordered_map<std::string, std::string> workspaceByDigest;
    for (const wire::Workspace &workspace : routes.workspaces()) {
        const std::string place = "workspace " + workspace.name();
        if (workspace.name().empty() || !names.insert(workspace.name()).second) {
            findings.push_back({place, "has no name of its own", {}});
        }
        if (!(workspace.rate_per_second() >= 0) || !(workspace.burst() >= 0)) {
            findings.push_back({place, "its rate or burst is below 0", "0 or more"});
        }
        for (const std::string &digest : workspace.key_digests()) {
            const auto [holder, added] = workspaceByDigest.emplace(digest, workspace.name());
            if (!added && holder->second != workspace.name()) {
                findings.push_back({place, "shares a key with workspace " + holder->second, "a key of its own"});
            }
        }
    }
}

/** Replaces the items of @p to that have the name of an item of @p from, and adds the other items of @p from. */
template<typename Items>
void upsert(Items &to, const Items &from)
{
    std::unordered_map<std::string, int> indexes;
    for (int index = 0; index < to.size(); ++index) {
        indexes[to.Get(index).name()] = index;
    }
    for (const auto &item : from) {
        const auto found = indexes.find(item.name());
        if (found != indexes.end()) {
            *to.Mutable(found->second) = item;
        } else {
            *to.Add() = item;
        }
    }
}

template<typename Items, typename Names>
void removeNamed(Items &from, const Names &names)
{
    const std::set<std::string> removedNames(names.begin(), names.end());
    const auto end = std::remove_if(from.begin(), from.end(), [&](const auto &item) {
        return removedNames.contains(item.name());
    });
    from.erase(end, from.end());
}

/** Adds the items that are new or different to @p changed, and the names that @p to lacks to @p removed. */
template<typename Items, typename Names>
void addDifference(const Items &from, const Items &to, Items &changed, Names &removed)
{
    std::unordered_map<std::string, std::string> before;
    for (const auto &item : from) {
        before[item.name()] = item.SerializeAsString();
    }
    for (const auto &item : to) {
        const auto previous = before.find(item.name());
        if (previous == before.end() || previous->second != item.SerializeAsString()) {
            *changed.Add() = item;
        }
        before.erase(item.name());
    }
    for (const auto &[name, text] : before) {
        removed.Add(std::string(name));
    }
}

/** Drops the names of items that a later change adds again from the names of removed items. */
template<typename Names, typename Items>
Names withoutItems(const Names &names, const Items &items)
{
    std::set<std::string> addedNames;
    for (const auto &item : items) {
        addedNames.insert(item.name());
    }
    Names remaining;
    for (const std::string &name : names) {
        if (!addedNames.contains(name)) {
            remaining.Add(std::string(name));
        }
    }
    return remaining;
}

} // namespace

struct RouteTable::Content {
    std::uint64_t revision = 0;
    /** By host, longest prefix first. */
    std::unordered_map<std::string, std::vector<Route>> byHost;
    std::map<std::string, RoutedService, std::less<>> services;
    bool requiresCallerKeys = false;
    std::string digestKey;
    std::map<std::string, Workspace, std::less<>> workspaces;
    std::unordered_map<std::string, const Workspace *, DigestHash, DigestEqual> byKeyDigest;
};

RouteTable::RouteTable()
    : content(std::make_shared<const Content>())
{
}

RouteTable::RouteTable(const wire::RouteTable &routes)
{
    auto newContent = std::make_shared<Content>();
    newContent->revision = routes.revision();
    for (const wire::Route &route : routes.routes()) {
        Route converted = fromWire(route);
        newContent->byHost[converted.host].push_back(std::move(converted));
    }
    for (auto &[host, routesOfHost] : newContent->byHost) {
        std::stable_sort(routesOfHost.begin(), routesOfHost.end(), [](const Route &left, const Route &right) {
            return left.prefix.size() > right.prefix.size();
        });
    }
    for (const wire::RoutedService &service : routes.services()) {
        newContent->services[service.name()] = fromWire(service);
    }
    newContent->requiresCallerKeys = routes.callers_need_keys();
    newContent->digestKey = routes.digest_key();
    for (const wire::Workspace &workspace : routes.workspaces()) {
        Workspace &converted = newContent->workspaces[workspace.name()];
        converted = fromWire(workspace);
        for (const std::string &digest : workspace.key_digests()) {
            newContent->byKeyDigest[digest] = &converted;
        }
    }
    this->content = std::move(newContent);
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

bool RouteTable::requiresCallerKeys() const
{
    return this->content->requiresCallerKeys;
}

const Workspace *RouteTable::workspaceOf(std::string_view key) const
{
    if (this->content->byKeyDigest.empty()) {
        return nullptr;
    }
    const auto found = this->content->byKeyDigest.find(keyDigest(key, this->content->digestKey));
    return found == this->content->byKeyDigest.end() ? nullptr : found->second;
}

const Workspace *RouteTable::workspace(std::string_view name) const
{
    const auto found = this->content->workspaces.find(name);
    return found == this->content->workspaces.end() ? nullptr : &found->second;
}

const std::map<std::string, Workspace, std::less<>> &RouteTable::workspaces() const
{
    return this->content->workspaces;
}

Findings digestKeys(wire::RouteTable &routes, const std::string &digestKey)
{
    Findings findings;
    for (wire::Workspace &workspace : *routes.mutable_workspaces()) {
        for (const std::string &key : workspace.keys()) {
            if (key.empty()) {
                findings.push_back({"workspace " + workspace.name(), "has an empty key", "a key of 1 byte or more"});
                continue;
            }
            if (digestKey.size() != DigestKeyBytes) {
                findings.push_back({"workspace " + workspace.name(), "no secret to make digests with", {}});
                break;
            }
            workspace.add_key_digests(keyDigest(key, digestKey));
        }
        workspace.clear_keys();
    }
    return findings;
}

Findings validateRoutes(const wire::RouteTable &routes)
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
    checkWorkspaces(routes, findings);
    return findings;
}

wire::RouteTable withoutSources(const wire::RouteTable &routes)
{
    wire::RouteTable stripped = routes;
    for (wire::Route &route : *stripped.mutable_routes()) {
        route.clear_source();
    }
    for (wire::RoutedService &service : *stripped.mutable_services()) {
        service.clear_source();
    }
    for (wire::Workspace &workspace : *stripped.mutable_workspaces()) {
        workspace.clear_source();
    }
    if (stripped.has_limits()) {
        stripped.mutable_limits()->clear_source();
    }
    return stripped;
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
    addDifference(
        from.workspaces(), to.workspaces(), *table.mutable_workspaces(), *change.mutable_removed_workspaces());
    if (to.has_limits()) {
        *table.mutable_limits() = to.limits();
    }
    table.set_callers_need_keys(to.callers_need_keys());
    table.set_digest_key(to.digest_key());
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
    *both.mutable_removed_workspaces() = withoutItems(first.removed_workspaces(), second.table().workspaces());
    both.mutable_removed_workspaces()->MergeFrom(second.removed_workspaces());
    return both;
}

wire::RouteTable merged(const wire::RouteTable &base, const wire::PutRoutes &change)
{
    wire::RouteTable result = base;
    result.set_revision(change.table().revision());
    removeNamed(*result.mutable_routes(), change.removed_routes());
    removeNamed(*result.mutable_services(), change.removed_services());
    removeNamed(*result.mutable_workspaces(), change.removed_workspaces());
    upsert(*result.mutable_routes(), change.table().routes());
    upsert(*result.mutable_services(), change.table().services());
    upsert(*result.mutable_workspaces(), change.table().workspaces());
    if (change.table().has_callers_need_keys()) {
        result.set_callers_need_keys(change.table().callers_need_keys());
    }
    if (!change.table().digest_key().empty()) {
        result.set_digest_key(change.table().digest_key());
    }
    if (change.table().has_limits()) {
        *result.mutable_limits() = change.table().limits();
    }
    return result;
}

} // namespace bergamotweir::table
