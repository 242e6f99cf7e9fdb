#include "process/ReplicaIdentity.h"

#include "disk/Storage.h"

#include <algorithm>
#include <cstdio>
#include <random>

namespace bergamotweir::process {

namespace {

std::string founderId(const std::string &endpoint)
{
    return "founder-" + endpoint.substr(0, endpoint.rfind(':'));
}

std::string joinerId(const std::string &address)
{
    std::random_device device;
    char number[16];
    std::snprintf(number, sizeof(number), "%08x", device());
    return "replica-" + address + "-" + number;
}

std::string withPort(const std::string &endpoint, std::uint16_t port)
{
    return endpoint.substr(0, endpoint.rfind(':')) + ":" + std::to_string(port);
}

wire::Membership founders(const ControlSettings &settings)
{
    wire::Membership membership;
    for (const std::string &seed : settings.group->seeds) {
        wire::Replica &replica = *membership.add_replicas();
        replica.set_id(founderId(seed));
        replica.set_address(seed);
        replica.set_control_address(withPort(seed, settings.controlPort));
        replica.set_voter(true);
    }
    return membership;
}

} // namespace

Findings determineIdentity(ControlSettings &settings)
{
    const Result<std::string> storedId = disk::Storage::replicaIdOf(settings.dataFolder);
    if (!storedId) {
        return storedId.error();
    }
    const std::vector<std::string> &seeds = settings.group->seeds;
    const std::string ownEndpoint = settings.address + ":" + std::to_string(settings.raftPort);
    const bool isSeed = std::find(seeds.begin(), seeds.end(), ownEndpoint) != seeds.end();
    const bool isFounder = storedId.value().empty() ? settings.group->firstStart && isSeed
                                                    : storedId.value() == founderId(ownEndpoint) && isSeed;
    settings.replicaId = !storedId.value().empty() ? storedId.value()
                         : isFounder               ? founderId(ownEndpoint)
                                                   : joinerId(settings.address);
    settings.join = !isFounder;
    settings.initial = isFounder ? founders(settings) : wire::Membership();
    return {};
}

} // namespace bergamotweir::process
