#include "ReplicaList.h"

#include "cli/ValueKinds.h"

#include <set>
#include <string>

namespace bergamotweir::cli {

std::optional<wire::Replica> readReplica(std::string_view text)
{
    const std::size_t equals = text.find('=');
    const std::size_t slash = text.rfind('/');
    if (equals == std::string_view::npos || slash == std::string_view::npos || slash < equals) {
        return std::nullopt;
    }
    const std::string_view id = text.substr(0, equals);
    const std::string_view raftAddress = text.substr(equals + 1, slash - equals - 1);
    const std::string address(raftAddress.substr(0, raftAddress.rfind(':')));
    const std::string controlAddress = address + ":" + std::string(text.substr(slash + 1));
    if (!NameKind.isValid(id) || !EndpointKind.isValid(raftAddress) || !EndpointKind.isValid(controlAddress)
        || raftAddress == controlAddress) {
        return std::nullopt;
    }
    wire::Replica replica;
    replica.set_id(std::string(id));
    replica.set_address(std::string(raftAddress));
    replica.set_control_address(controlAddress);
    replica.set_voter(true);
    return replica;
}

std::optional<wire::Membership> readReplicas(std::string_view text)
{
    wire::Membership membership;
    std::set<std::string> seen;
    for (std::size_t start = 0; start <= text.size();) {
        const std::size_t end = std::min(text.find(',', start), text.size());
        std::optional<wire::Replica> replica = readReplica(text.substr(start, end - start));
        start = end + 1;
        if (!replica || !seen.insert("id " + replica->id()).second || !seen.insert(replica->address()).second
            || !seen.insert(replica->control_address()).second) {
            return std::nullopt;
        }
        *membership.add_replicas() = std::move(*replica);
    }
    return membership;
}

} // namespace bergamotweir::cli
