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

/** One of the services that the requests of a route are split between. */
struct RoutePart {
    std::string service;
    /** Share of the requests, relative to the route's other parts. */
    double weight = 1;
};

/** Rules for requests to one host below one path prefix. */
struct Route {
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    RouteKind kind = RouteKind::NonIdempotent;
    /** Maximum time that a caller waits for the answer. */
    std::chrono::milliseconds timeout{0};
    /** Latency target; an answer that arrives earlier has no further benefit. */
    std::chrono::milliseconds targetLatency{0};
    /** 0 is the highest priority. */
    unsigned priority = 0;
    /** Maximum number of upstreams that one request may be sent to. */
    unsigned attempts = 1;
    /** At least one part has a weight above 0. */
    std::vector<RoutePart> parts;
    /** Whether callers without a key are served although other routes require one. */
    bool allowsKeylessCallers = false;
};

/** Settings of a service in the table of routes. */
struct RoutedService {
    std::string name;
    /** Path of the health check of an upstream. */
    std::string healthPath;
    /** Maximum connections that an upstream accepts from all its clients together; 0 when not stated. */
    unsigned maxConnections = 0;
    /** Whether keys are numbers that requests carry. */
    bool numberedKeys = false;
    /** Maximum requests a second for a cold upstream; 0 when not stated. */
    double warmupPerSecond = 0;
    /** Whether upstreams are granted keys by orders, and not with the answers to their heartbeats. */
    bool grantsByCall = false;

    /** @return whether an upstream's heartbeat lists the keys that it holds, and the answer grants keys */
    bool listsKeysInHeartbeats() const
    {
        return this->numberedKeys && !this->grantsByCall;
    }
};

/**
 * The routes in force, an immutable value; copies share the content. Owned by the Table that contains it.
 */
class RouteTable
{
public:
    /** No routes, revision 0. */
    RouteTable();

    /** @param routes checked by validateRoutes() */
    explicit RouteTable(const wire::RouteTable &routes);

    /** @return the revision number that the operator assigned; 0 before the first revision */
    std::uint64_t revision() const;

    /**
     * @param host compared without regard to letter case
     * @param path without the query
     * @return the route of that host with the longest matching prefix, or nullptr; valid as long as this
     */
    const Route *find(std::string_view host, std::string_view path) const;

    /** @return the service, or nullptr; valid as long as this */
    const RoutedService *service(std::string_view name) const;

    /** @return all services by name */
    const std::map<std::string, RoutedService, std::less<>> &services() const;

    /** @return true when a caller must identify its workspace by a key, except on routes with allowsKeylessCallers */
    bool requiresCallerKeys() const;

    /**
     * @param key as the caller sends it
     * @return the workspace that the key belongs to, or nullptr; valid as long as this
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
 * Validates a whole table of routes.
 * @return every finding with its place: unknown services, parts without weight, no timeout, no attempts, bad prefixes,
 *         names used twice, limits below 0, keys of two workspaces; no finding contains a key
 */
Findings validateRoutes(const wire::RouteTable &routes);

/**
 * Replaces the keys of workspaces by their digests.
 * @param digestKey DigestKeyBytes long
 * @return a finding with the workspace's name for each empty key, and for a secret of another length
 */
Findings digestKeys(wire::RouteTable &routes, const std::string &digestKey);

/**
 * Applies a partial change, which replaces, adds or removes the items that it names.
 * @param base the table in force
 * @param change with partial set
 * @return the whole table after the change, not validated
 */
wire::RouteTable merged(const wire::RouteTable &base, const wire::PutRoutes &change);

/**
 * Computes the change between two tables of routes, without the operator's own text.
 * Agents receive only what changed: the whole table of 1,400 routes takes seconds over the slowest link, for each
 * change again, which is longer than a change may take to reach the agents.
 * @return the change that turns one table into the other
 */
wire::PutRoutes difference(const wire::RouteTable &from, const wire::RouteTable &to);

/**
 * Combines two consecutive changes.
 * @return one change with the same result as both, whether applied to the base of the first or to any revision between
 */
wire::PutRoutes joined(const wire::PutRoutes &first, const wire::PutRoutes &second);

/** @return the table without the operator's own text for its items */
wire::RouteTable withoutSources(const wire::RouteTable &routes);

} // namespace bergamotweir::table
