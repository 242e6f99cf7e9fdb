#include "RaftScenario.h"

#include <algorithm>

namespace bergamotweir::tests {

namespace {

void requestChange(RaftPump &pump, const std::string &id, wire::ChangeMember::Change change)
{
    wire::ChangeMember request;
    request.mutable_replica()->set_id(id);
    request.mutable_replica()->set_address(id);
    request.set_change(change);
    pump.changePending = true;
    pump.callLeader([&request](raft::RaftCore &core, raft::RequestId requestId) {
        core.changeMember(requestId, request);
    });
}

bool hasTakenEffect(const wire::Membership &membership, const std::string &id, wire::ChangeMember::Change change)
{
    const auto &members = membership.replicas();
    const auto member = std::find_if(members.begin(), members.end(), [&id](const wire::Replica &one) {
        return one.id() == id;
    });
    const bool isMember = member != members.end();
    switch (change) {
    case wire::ChangeMember::CHANGE_REMOVE:
        return !isMember;
    case wire::ChangeMember::CHANGE_PROMOTE:
        return isMember && member->voter();
    default:
        return isMember;
    }
}

/** Partitions a replica from all others, for the messages that it sends, receives, or both. */
void partition(RaftPump &pump, const std::string &target, bool sends, bool receives)
{
    for (const auto &[id, replica] : pump.replicas) {
        if (sends) {
            pump.network.blockedLinks.insert({target, id});
        }
        if (receives) {
            pump.network.blockedLinks.insert({id, target});
        }
    }
}

void loseDisk(RaftPump &pump, const std::string &target)
{
    pump.kill(target);
    pump.at(target).disk = FakeDisk();
    pump.start(target);
}

} // namespace

const std::vector<Fault> &faults()
{
    static const std::vector<Fault> all{
        {"kill",
         [](RaftPump &pump, const std::string &target) {
             pump.kill(target);
         }},
        {"torn write",
         [](RaftPump &pump, const std::string &target) {
             pump.kill(target, true);
             pump.start(target);
         }},
        {"freeze",
         [](RaftPump &pump, const std::string &target) {
             pump.freeze(target);
         }},
        {"lost disk", loseDisk},
        {"failing sync or full disk",
         [](RaftPump &pump, const std::string &target) {
             pump.at(target).disk.mode = DiskMode::Fails;
         }},
        {"slow disk",
         [](RaftPump &pump, const std::string &target) {
             pump.at(target).disk.mode = DiskMode::Slow;
         }},
        {"two-way cut",
         [](RaftPump &pump, const std::string &target) {
             partition(pump, target, true, true);
         }},
        {"one-way cut, can't send",
         [](RaftPump &pump, const std::string &target) {
             partition(pump, target, true, false);
         }},
        {"one-way cut, can't receive",
         [](RaftPump &pump, const std::string &target) {
             partition(pump, target, false, true);
         }},
        {"messages delayed and reordered",
         [](RaftPump &pump, const std::string &) {
             pump.network.maxLatency = std::chrono::milliseconds(300);
         }},
        {"messages doubled",
         [](RaftPump &pump, const std::string &) {
             pump.network.duplicatePercent = 50;
             pump.network.maxLatency = std::chrono::milliseconds(20);
         }},
        {"messages and answers lost",
         [](RaftPump &pump, const std::string &) {
             pump.network.lossPercent = 40;
         }},
        {"clock drift",
         [](RaftPump &pump, const std::string &target) {
             pump.at(target).clockRatePermille = 1100;
         }},
    };
    return all;
}

void healAll(RaftPump &pump)
{
    pump.network = FakeNetwork();
    for (auto &[id, replica] : pump.replicas) {
        replica.disk.mode = DiskMode::Works;
        if (replica.core && replica.core->stopped()) {
            pump.kill(id, true);
        }
        if (replica.frozen) {
            pump.thaw(id);
        }
        if (!replica.core) {
            pump.start(id);
        }
    }
}

bool ensureChange(RaftPump &pump, const std::string &id, wire::ChangeMember::Change change)
{
    const FakeReplica *currentLeader = pump.leader();
    if (currentLeader == nullptr) {
        return false;
    }
    const bool isDone = hasTakenEffect(currentLeader->core->membership(), id, change);
    if (!isDone && !pump.changePending) {
        requestChange(pump, id, change);
    }
    return isDone && !pump.changePending;
}

bool hasConverged(RaftPump &pump)
{
    const FakeReplica *currentLeader = pump.leader();
    if (currentLeader == nullptr || currentLeader->appliedIndex != currentLeader->core->log().lastIndex()) {
        return false;
    }
    const auto &members = currentLeader->core->membership().replicas();
    return std::all_of(members.begin(), members.end(), [&pump, currentLeader](const wire::Replica &member) {
        const FakeReplica &replica = pump.at(member.id());
        const bool lost = replica.disk.durable.diskId != member.disk_id();
        return lost || replica.state == currentLeader->state;
    });
}

bool repairMembership(RaftPump &pump)
{
    const FakeReplica *currentLeader = pump.leader();
    if (currentLeader == nullptr) {
        return false;
    }
    for (const wire::Replica &member : currentLeader->core->membership().replicas()) {
        if (pump.at(member.id()).disk.durable.diskId != member.disk_id()) {
            ensureChange(pump, member.id(), wire::ChangeMember::CHANGE_REMOVE);
            return false;
        }
    }
    for (const auto &[id, replica] : pump.replicas) {
        if (!ensureChange(pump, id, wire::ChangeMember::CHANGE_ADD)
            || !ensureChange(pump, id, wire::ChangeMember::CHANGE_PROMOTE)) {
            return false;
        }
    }
    return true;
}

FakeReplica *follower(RaftPump &pump)
{
    const FakeReplica *currentLeader = pump.leader();
    for (auto &[id, replica] : pump.replicas) {
        if (replica.core && !replica.frozen && &replica != currentLeader) {
            return &replica;
        }
    }
    return nullptr;
}

} // namespace bergamotweir::tests
