#pragma once

#include "control/CoordinatorSettings.h"
#include "raft.pb.h"
#include "raft/RaftSettings.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bergamotweir::process {

struct OperatorProtocol;

/** Settings of a control group that manages its own membership. */
struct GroupSettings {
    /** Replica endpoints of the VMs that form the first group; new replicas send their join requests to them. */
    std::vector<std::string> seeds;
    /** True on the first start of the whole deployment: the seeds then form the first group. */
    bool firstStart = false;
    /** Target number of voters; tolerating the loss of n of them takes 2n + 1. */
    std::size_t wantedVoters = 5;
    /** With fewer voters a leader acknowledges no change until it has waited this long for others to join. */
    std::chrono::milliseconds joinGrace{std::chrono::seconds(10)};
    /** Silence after which a voter is removed if another replica joins in its place. */
    std::chrono::milliseconds voterTimeout{std::chrono::seconds(1)};
    /** Silence after which a learner is removed; it may be silent while it restores a snapshot on a slow disk. */
    std::chrono::milliseconds learnerTimeout{std::chrono::seconds(8)};
};

/** Settings of a control replica, checked. Ports: 0 asks the kernel for a free one. */
struct ControlSettings {
    /** Name of this process in its log lines, set where the id is determined at the start; if empty, the id is used. */
    std::string vmName = {};
    /** Unique in the control group. */
    std::string replicaId;
    /** IP that the replica binds and advertises to others. */
    std::string address;
    /** Port for messages of the other replicas. */
    std::uint16_t raftPort = 0;
    /** Port for agents and operators, gRPC. */
    std::uint16_t controlPort = 0;
    /** Port for /healthz and /metrics, HTTP. */
    std::uint16_t operatorPort = 0;
    /** Folder of all durable state. */
    std::string dataFolder;
    /** The first membership, all voters; the same on each of its replicas. Empty when join is set. */
    wire::Membership initial;
    /** True for a replica that waits until "member add" adds it. */
    bool join = false;
    std::string logLevel = "info";
    /** Seed of all random numbers of the process; 0 derives one from the clock and the id. */
    std::uint64_t seed = 0;
    /** Set when the group manages its own membership; otherwise operators change it. */
    std::optional<GroupSettings> group;
    /** Elections and heartbeats of the group. */
    raft::RaftSettings raft;
    /** Leases and moves of slices. */
    control::CoordinatorSettings coordinator;
    /** Translates operators' requests in the deployment's own HTTP protocol; nullptr for none. */
    const OperatorProtocol *operatorProtocol = nullptr;
    /** Port for operators' requests in that protocol. */
    std::uint16_t orderPort = 0;
};

} // namespace bergamotweir::process
