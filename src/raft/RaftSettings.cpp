#include "raft/RaftSettings.h"

namespace bergamotweir::raft {

RaftSettingsBuilder &RaftSettingsBuilder::electionTimeout(std::chrono::milliseconds min, std::chrono::milliseconds max)
{
    this->settings.electionTimeoutMin = min;
    this->settings.electionTimeoutMax = max;
    return *this;
}

RaftSettingsBuilder &RaftSettingsBuilder::heartbeat(std::chrono::milliseconds value)
{
    this->settings.heartbeat = value;
    return *this;
}

RaftSettingsBuilder &RaftSettingsBuilder::messageBytes(std::size_t append, std::size_t chunk)
{
    this->settings.appendBytes = append;
    this->settings.chunkBytes = chunk;
    return *this;
}

RaftSettingsBuilder &RaftSettingsBuilder::snapshots(std::uint64_t everyEntries, std::uint64_t trailingEntries)
{
    this->settings.snapshotEntries = everyEntries;
    this->settings.trailingEntries = trailingEntries;
    return *this;
}

RaftSettingsBuilder &RaftSettingsBuilder::snapshotBytes(std::size_t every, std::size_t trailing)
{
    this->settings.snapshotBytes = every;
    this->settings.trailingBytes = trailing;
    return *this;
}

RaftSettingsBuilder &RaftSettingsBuilder::snapshotApplyTime(std::chrono::milliseconds value)
{
    this->settings.snapshotApplyTime = value;
    return *this;
}

RaftSettingsBuilder &RaftSettingsBuilder::uncommittedEntries(std::uint64_t value)
{
    this->settings.uncommittedEntries = value;
    return *this;
}

Result<RaftSettings> RaftSettingsBuilder::build() const
{
    Findings findings;
    if (this->settings.heartbeat.count() <= 0 || this->settings.heartbeat * 2 > this->settings.electionTimeoutMin) {
        findings.push_back({"heartbeat", "is not between 1 ms and half of the minimum election timeout", {}});
    }
    if (this->settings.electionTimeoutMax <= this->settings.electionTimeoutMin) {
        findings.push_back({"election timeout", "the maximum is not above the minimum", {}});
    }
    if (this->settings.appendBytes == 0 || this->settings.chunkBytes == 0) {
        findings.push_back({"message bytes", "are zero", {}});
    }
    if (this->settings.snapshotBytes == 0 || this->settings.snapshotApplyTime.count() <= 0) {
        findings.push_back({"snapshots", "are due after no bytes or no time", {}});
    }
    if (this->settings.snapshotEntries == 0 || this->settings.uncommittedEntries == 0) {
        findings.push_back({"entries", "are zero", {}});
    }
    if (!findings.empty()) {
        return findings;
    }
    return this->settings;
}

} // namespace bergamotweir::raft
