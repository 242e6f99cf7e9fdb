#include "process/ReplicaSettings.h"

namespace bergamotweir::process {

ReplicaSettingsBuilder &ReplicaSettingsBuilder::id(std::string value)
{
    this->settings.id = std::move(value);
    return *this;
}

ReplicaSettingsBuilder &ReplicaSettingsBuilder::listen(std::string address, std::uint16_t port)
{
    this->settings.address = std::move(address);
    this->settings.raftPort = port;
    return *this;
}

ReplicaSettingsBuilder &ReplicaSettingsBuilder::controlAddress(std::string value)
{
    this->settings.controlAddress = std::move(value);
    return *this;
}

ReplicaSettingsBuilder &ReplicaSettingsBuilder::dataFolder(std::filesystem::path value)
{
    this->settings.dataFolder = std::move(value);
    return *this;
}

ReplicaSettingsBuilder &ReplicaSettingsBuilder::initial(wire::Membership value)
{
    this->settings.initial = std::move(value);
    return *this;
}

ReplicaSettingsBuilder &ReplicaSettingsBuilder::join(bool value)
{
    this->settings.join = value;
    return *this;
}

ReplicaSettingsBuilder &ReplicaSettingsBuilder::seed(std::uint64_t value)
{
    this->settings.seed = value;
    return *this;
}

ReplicaSettingsBuilder &ReplicaSettingsBuilder::raft(raft::RaftSettings value)
{
    this->settings.raft = value;
    return *this;
}

Result<ReplicaSettings> ReplicaSettingsBuilder::build() const
{
    Findings findings;
    if (this->settings.id.empty()) {
        findings.push_back({"replica id", "is empty", {}});
    }
    if (this->settings.address.empty()) {
        findings.push_back({"address", "is empty", "an IP number"});
    }
    if (this->settings.dataFolder.empty()) {
        findings.push_back({"data folder", "is not given", {}});
    }
    bool isListed = false;
    for (const wire::Replica &replica : this->settings.initial.replicas()) {
        isListed = isListed || replica.id() == this->settings.id;
        if (replica.address().empty()) {
            findings.push_back({"replicas, " + replica.id(), "has no address", "ID=IP:PORT/PORT"});
        }
    }
    if (!this->settings.join && !isListed) {
        findings.push_back({"replicas", "do not name " + this->settings.id, "it, or join an existing group"});
    }
    if (!findings.empty()) {
        return findings;
    }
    return this->settings;
}

} // namespace bergamotweir::process
