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

/** How a control group keeps its own membership. */
struct GroupSettings {
    /** Replica endpoints of the VMs that form the first group and that newcomers ask. */
    std::vector<std::string> seeds;
    /** The whole deployment starts for the first time: those among the seeds form the first group. */
    bool firstStart = false;
    /** Voters that it takes to bear the losses that must be borne: twice their number and one. */
    std::size_t wantedVoters = 5;
    /** With fewer voters a leader acknowledges nothing until it has waited so long for others to join. */
    std::chrono::milliseconds joinGrace{std::chrono::seconds(10)};
    /** A member silent for so long makes room for one that has joined: longer than a frozen VM or a restart takes. */
    std::chrono::milliseconds removeAfter{std::chrono::seconds(8)};
};

/** Settings of a control replica, checked. Ports: 0 asks the kernel for a free one. */
struct ControlSettings {
    /** What its log lines call this process, where its id is found only at the start; the id otherwise. */
    std::string vmName = {};
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
    /** Folder of all durable state. */
    std::string dataFolder;
    /** The first membership, the same on each replica of it; all voters. Empty when join is set. */
    wire::Membership initial;
    /** True for a replica that waits until "member add" takes it in. */
    bool join = false;
    std::string logLevel = "info";
    /** Seeds all randomness of the process; 0 takes one from the clock and the id. */
    std::uint64_t seed = 0;
    /** Set where the group keeps its own membership; operators change it otherwise. */
    std::optional<GroupSettings> group;
    /** Elections and heartbeats of the group. */
    raft::RaftSettings raft;
    /** Leases and moves. */
    control::CoordinatorSettings coordinator;
    /** Operators' orders over HTTP in a protocol of the deployment's; nullptr for none. */
    const OperatorProtocol *operatorProtocol = nullptr;
    /** Port for them. */
    std::uint16_t orderPort = 0;
};

} // namespace bergamotweir::process
