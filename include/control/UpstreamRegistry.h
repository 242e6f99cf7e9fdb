#pragma once

#include "control.pb.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace bergamotweir::control {

/**
 * Every upstream that ever announced itself, under an id that stays the same over its restarts.
 * Owned by the replicated state. Ids start at 1 and are never used again for another upstream.
 */
class UpstreamRegistry
{
public:
    using Upstreams = std::map<std::uint32_t, wire::UpstreamInfo>;

    /** Adds or replaces an upstream. @return its id, or 0 when nothing changed */
    std::uint32_t put(const wire::UpstreamInfo &upstream);

    /** @return all upstreams by id */
    const Upstreams &all() const;

    /** @return the upstream with that id, or nullptr */
    const wire::UpstreamInfo *find(std::uint32_t id) const;

    /** @return the upstream of that name in a service, or nullptr */
    const wire::UpstreamInfo *find(const std::string &service, const std::string &name) const;

    /** @return ids of the upstreams beside an agent */
    const std::set<std::uint32_t> &ofAgent(const std::string &agent) const;

    /** @return ids of the upstreams of a service */
    const std::set<std::uint32_t> &ofService(const std::string &service) const;

    /** Replaces everything by a snapshot's upstreams. */
    void restore(const wire::StateSnapshot &from);

private:
    void store(std::uint32_t id, const wire::UpstreamInfo &upstream);

    Upstreams upstreams;
    std::map<std::pair<std::string, std::string>, std::uint32_t> ids;
    std::map<std::string, std::set<std::uint32_t>> agents;
    std::map<std::string, std::set<std::uint32_t>> services;
};

/** @return true when two announcements of one upstream say the same, whatever id they carry */
bool sameAnnouncement(const wire::UpstreamInfo &left, const wire::UpstreamInfo &right);

} // namespace bergamotweir::control
