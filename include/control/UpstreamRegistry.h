#pragma once

#include "control.pb.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace bergamotweir::control {

/**
 * Every upstream that was ever announced, under an id that stays the same across its restarts.
 * Owned by the replicated state. Ids start at 1 and are never reused for another upstream.
 */
class UpstreamRegistry
{
public:
    using Upstreams = std::map<std::uint32_t, wire::UpstreamInfo>;

    /** Adds or replaces an upstream. @return its id, or 0 when the announcement changes nothing */
    std::uint32_t put(const wire::UpstreamInfo &upstream);

    /** @return all upstreams by id */
    const Upstreams &all() const;

    /** @return the upstream with that id, or nullptr */
    const wire::UpstreamInfo *find(std::uint32_t id) const;

    /** @return the upstream of that name in a service, or nullptr */
    const wire::UpstreamInfo *find(const std::string &service, const std::string &name) const;

    /** @return ids of the upstreams that an agent serves */
    const std::set<std::uint32_t> &ofAgent(const std::string &agent) const;

    /** @return ids of the upstreams of a service */
    const std::set<std::uint32_t> &ofService(const std::string &service) const;

    /** Replaces all upstreams with those of a snapshot. */
    void restore(const wire::StateSnapshot &from);

private:
    void store(std::uint32_t id, const wire::UpstreamInfo &upstream);

    Upstreams upstreams;
    std::map<std::pair<std::string, std::string>, std::uint32_t> idByName;
    std::map<std::string, std::set<std::uint32_t>> idsByAgent;
    std::map<std::string, std::set<std::uint32_t>> idsByService;
};

/** @return whether two announcements of one upstream are equal, ignoring their ids */
bool sameAnnouncement(const wire::UpstreamInfo &left, const wire::UpstreamInfo &right);

} // namespace bergamotweir::control
