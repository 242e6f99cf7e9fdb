#pragma once

#include "raft.pb.h"

#include <optional>
#include <string_view>

namespace bergamotweir::cli {

/** @return the voter that "ID=IP:RAFTPORT/CONTROLPORT" describes, or nothing when it doesn't describe one */
std::optional<wire::Replica> readReplica(std::string_view text);

/** @return the replicas of a comma-separated list; nothing when one is bad or ids or addresses stand twice */
std::optional<wire::Membership> readReplicas(std::string_view text);

} // namespace bergamotweir::cli
