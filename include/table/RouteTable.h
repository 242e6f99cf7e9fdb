#pragma once

#include "base/Finding.h"
#include "table/RouteKind.h"
#include "table/Workspace.h"

#include <control.pb.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotweir::table {

/** One of the services that a route's requests are divided between. */
struct RoutePart {
    std::string service;
    /** Share of the requests, relative to the route's other parts. */
    double weight = 1;
};

/** What holds for requests to one host below one path prefix. */
struct Route {
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    RouteKind kind = RouteKind::NonIdempotent;
    /** Longest time that a caller is kept waiting. */
    std::chrono::milliseconds timeout{0};
    /** An answer within this time is as good as can be. */
    std::chrono::milliseconds targetLatency{0};
    /** 0 is the most urgent. */
    unsigned priority = 0;
    /** Most upstreams that one request may be sent to. */
    unsigned attempts = 1;
    /** At least one has a weight above 0. */
    std::vector<RoutePart> parts;
    /** Serves callers without a key where the others need one. */
    bool allowsKeylessCallers = false;
};

/** What the table of routes says of a service. */
struct RoutedService {
    std::string name;
    /** Path that tells whether an upstream is well. */
    std::string healthPath;
    /** Connections that an upstream accepts from everybody together; 0 is not stated. */
    unsigned maxConnections = 0;
    /** Divided by a number that each request carries. */
    bool numberedKeys = false;
    /** Requests a second that a cold upstream bears; 0 is not stated. */
    double warmupPerSecond = 0;
    /** Whether its upstreams get their keys by orders, and not with the answers to their heartbeats. */
    bool grantsByCall = false;
};

/**
 * The routes in force, an immutable value. Copies share their content. Owned by the Table that it is a part of.
 */
class RouteTable
{
public:
    /** No routes, revision 0. */
    RouteTable();

    /** @param routes checked by validateRoutes() */
    explicit RouteTable(const wire::RouteTable &routes);

    /** @return the operator's number of this version; 0 before the first one */
    std::uint64_t revision() const;

    /**
     * @param host without regard to letter case
     * @param path without the query
     * @return the route of that host with the longest prefix that begins the path, or nullptr; valid as long as this
     */
    const Route *find(std::string_view host, std::string_view path) const;

    /** @return the service, or nullptr; valid as long as this */
    const RoutedService *service(std::string_view name) const;

    /** @return all services by name */
    const std::map<std::string, RoutedService, std::less<>> &services() const;

    /** @return whether a caller must name its workspace by a key, except on routes that allow otherwise */
    bool requiresCallerKeys() const;

    /**
     * @param key as the caller sends it
     * @return the workspace that holds the key, or nullptr; valid as long as this
     */
    const Workspace *workspaceOf(std::string_view key) const;

    /** @return the workspace of that name, or nullptr; valid as long as this */
    const Workspace *workspace(std::string_view name) const;

    /** @return all workspaces by name */
    const std::map<std::string, Workspace, std::less<>> &workspaces() const;

private:
    struct Content;
    std::shared_ptr<const Content> content;
};

/**
 * Checks a whole table of routes.
 * @return every finding with its place: unknown services, parts without weight, no timeout, no attempts, bad prefixes,
 *         names used twice, limits below 0, keys of two workspaces; none shows a key
 */
Findings validateRoutes(const wire::RouteTable &routes);

/**
 * Replaces the keys of workspaces by their digests.
 * @param digestKey DigestKeyBytes long
 * @return a finding for each empty key and for a secret of another length, with the workspace's name
 */
Findings digestKeys(wire::RouteTable &routes, const std::string &digestKey);

/**
 * Applies a change of named items.
 * @param base what is in force
 * @param change with partial set
 * @return the whole table after it, not checked
 */
wire::RouteTable merged(const wire::RouteTable &base, const wire::PutRoutes &change);

/**
 * Guards against a table of routes that takes longer to reach the agents than it may: at 1,400 routes the whole one
 * takes seconds over the thinnest link, with each change anew. Agents get what changed, without the operator's own
 * text.
 * @return the change that leads from one table to another
 */
wire::PutRoutes difference(const wire::RouteTable &from, const wire::RouteTable &to);

/**
 * Joins two changes of which the second follows the first.
 * @return one change that leads to where both lead, from where the first begins or from any point between
 */
wire::PutRoutes joined(const wire::PutRoutes &first, const wire::PutRoutes &second);

/** @return the table without the operator's own text of its items */
wire::RouteTable withoutSources(const wire::RouteTable &routes);

} // namespace bergamotweir::table
