#pragma once

#include "base/Result.h"
#include "raft.pb.h"
#include "raft/RaftSettings.h"

#include <cstdint>
#include <filesystem>
#include <string>

namespace bergamotweir::process {

/** Settings of one replica of the control group. Built by ReplicaSettingsBuilder. */
struct ReplicaSettings {
    std::string id;
    /** IP to listen on. */
    std::string address;
    /** 0 lets the kernel choose a port, for tests that listen before they know the membership. */
    std::uint16_t raftPort = 0;
    /** IP:port that agents and operators connect to. */
    std::string controlAddress;
    std::filesystem::path dataFolder;
    /** The first voters, the same list on each of them. Read only while the data folder is empty. */
    wire::Membership initial;
    /** With an empty data folder, the replica waits to be added instead of forming a group. */
    bool join = false;
    std::uint64_t seed = 0;
    raft::RaftSettings raft;
};

/** Collects a replica's settings and checks them together. */
class ReplicaSettingsBuilder
{
public:
    ReplicaSettingsBuilder &id(std::string value);
    /** @param address IP to listen on @param port TCP port, 0 for the kernel's choice */
    ReplicaSettingsBuilder &listen(std::string address, std::uint16_t port);
    ReplicaSettingsBuilder &controlAddress(std::string value);
    ReplicaSettingsBuilder &dataFolder(std::filesystem::path value);
    ReplicaSettingsBuilder &initial(wire::Membership value);
    ReplicaSettingsBuilder &join(bool value);
    ReplicaSettingsBuilder &seed(std::uint64_t value);
    ReplicaSettingsBuilder &raft(raft::RaftSettings value);

    /** @return the settings, or every finding about them */
    Result<ReplicaSettings> build() const;

private:
    ReplicaSettings settings;
};

} // namespace bergamotweir::process
