#pragma once

#include "raft.pb.h"

#include <cstdint>
#include <string>

namespace bergamotweir::process {

/** Settings of a control replica, checked. Ports: 0 asks the kernel for a free one. */
struct ControlSettings {
    /** Unique in the control group. */
    std::string replicaId;
    /** IP that the replica binds and tells others to reach it at. */
    std::string address;
    /** Messages of the other replicas. */
    std::uint16_t raftPort = 0;
    /** Agents and operators, gRPC. */
    std::uint16_t controlPort = 0;
    /** /healthz, /metrics. */
    std::uint16_t operatorPort = 0;
    /** Everything that must survive lies below it. */
    std::string dataFolder;
    /** The first membership, the same on each replica of it; all voters. Empty when join is set. */
    wire::Membership initial;
    /** True for a replica that waits until "member add" takes it in. */
    bool join = false;
    std::string logLevel = "info";
    /** Seeds all randomness of the process; 0 takes one from the clock and the id. */
    std::uint64_t seed = 0;
};

} // namespace bergamotweir::process
