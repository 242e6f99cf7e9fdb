#include "control/UpstreamRegistry.h"

namespace bergamotweir::control {

std::uint32_t UpstreamRegistry::put(const wire::UpstreamInfo &upstream)
{
    std::uint32_t &id = this->idByName[{upstream.service(), upstream.name()}];
    if (id != 0 && sameAnnouncement(this->upstreams[id], upstream)) {
        return 0;
    }
    if (id == 0) {
        id = static_cast<std::uint32_t>(this->idByName.size());
    }
    this->store(id, upstream);
    return id;
}

const UpstreamRegistry::Upstreams &UpstreamRegistry::all() const
{
    return this->upstreams;
}

const wire::UpstreamInfo *UpstreamRegistry::find(std::uint32_t id) const
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

const wire::UpstreamInfo *UpstreamRegistry::find(const std::string &service, const std::string &name) const
{
    const auto found = this->idByName.find({service, name});
    return found == this->idByName.end() ? nullptr : this->find(found->second);
}

const std::set<std::uint32_t> &UpstreamRegistry::ofAgent(const std::string &agent) const
{
    static const std::set<std::uint32_t> none;
    const auto found = this->idsByAgent.find(agent);
    return found == this->idsByAgent.end() ? none : found->second;
}

const std::set<std::uint32_t> &UpstreamRegistry::ofService(const std::string &service) const
{
    static const std::set<std::uint32_t> none;
    const auto found = this->idsByService.find(service);
    return found == this->idsByService.end() ? none : found->second;
}

void UpstreamRegistry::store(std::uint32_t id, const wire::UpstreamInfo &upstream)
{
    wire::UpstreamInfo &stored = this->upstreams[id];
    this->idsByAgent[stored.agent()].erase(id);
    stored = upstream;
    stored.set_id(id);
    this->idsByAgent[stored.agent()].insert(id);
    this->idsByService[stored.service()].insert(id);
}

void UpstreamRegistry::restore(const wire::StateSnapshot &from)
{
    *this = UpstreamRegistry();
    for (const wire::UpstreamInfo &upstream : from.upstreams()) {
        this->store(upstream.id(), upstream);
        this->idByName[{upstream.service(), upstream.name()}] = upstream.id();
    }
}

bool sameAnnouncement(const wire::UpstreamInfo &left, const wire::UpstreamInfo &right)
{
    return left.service() == right.service() && left.name() == right.name()
           && left.failure_domain() == right.failure_domain() && left.agent() == right.agent()
           && left.peer_address() == right.peer_address() && left.incarnation() == right.incarnation()
           && left.slots() == right.slots() && left.connections() == right.connections()
           && left.checks_grants() == right.checks_grants() && left.serving() == right.serving()
           && left.operator_address() == right.operator_address()
           && left.agent_incarnation() == right.agent_incarnation() && left.leaving() == right.leaving()
           && left.rate_limit() == right.rate_limit();
}

} // namespace bergamotweir::control
