#pragma once

#include "raft.pb.h"

#include <optional>
#include <string_view>

namespace bergamotweir::cli {

/** @return the voter described by "ID=IP:RAFTPORT/CONTROLPORT", or nothing if the text is malformed */
std::optional<wire::Replica> readReplica(std::string_view text);

/** @return the replicas of a comma-separated list, or nothing if one is malformed or an id or address repeats */
std::optional<wire::Membership> readReplicas(std::string_view text);

} // namespace bergamotweir::cli
