#include "RaftScenario.h"

#include <algorithm>

namespace bergamotweir::tests {

namespace {

void askChange(RaftPump &pump, const std::string &id, wire::ChangeMember::Change change)
{
    wire::ChangeMember request;
    request.mutable_replica()->set_id(id);
    request.mutable_replica()->set_address(id);
    request.set_change(change);
    pump.changePending = true;
    pump.askLeader([&request](raft::RaftCore &core, raft::RequestId name) {
        core.changeMember(name, request);
    });
}

bool isWanted(const wire::Membership &membership, const std::string &id, wire::ChangeMember::Change change)
{
    const auto &members = membership.replicas();
    const auto member = std::find_if(members.begin(), members.end(), [&id](const wire::Replica &one) {
        return one.id() == id;
    });
    const bool there = member != members.end();
    switch (change) {
    case wire::ChangeMember::CHANGE_REMOVE:
        return !there;
    case wire::ChangeMember::CHANGE_PROMOTE:
        return there && member->voter();
    default:
        return there;
    }
}

/** Cuts a replica from all others, for what it sends, receives, or both. */
void cutOff(RaftPump &pump, const std::string &target, bool sends, bool receives)
{
    for (const auto &[id, replica] : pump.replicas) {
        if (sends) {
            pump.network.cuts.insert({target, id});
        }
        if (receives) {
            pump.network.cuts.insert({id, target});
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
             pump.at(target).disk.mood = DiskMood::Fails;
         }},
        {"slow disk",
         [](RaftPump &pump, const std::string &target) {
             pump.at(target).disk.mood = DiskMood::Slow;
         }},
        {"two-way cut",
         [](RaftPump &pump, const std::string &target) {
             cutOff(pump, target, true, true);
         }},
        {"one-way cut, can't send",
         [](RaftPump &pump, const std::string &target) {
             cutOff(pump, target, true, false);
         }},
        {"one-way cut, can't receive",
         [](RaftPump &pump, const std::string &target) {
             cutOff(pump, target, false, true);
         }},
        {"messages delayed and reordered",
         [](RaftPump &pump, const std::string &) {
             pump.network.slowest = std::chrono::milliseconds(300);
         }},
        {"messages doubled",
         [](RaftPump &pump, const std::string &) {
             pump.network.doubled = 50;
             pump.network.slowest = std::chrono::milliseconds(20);
         }},
        {"messages and answers lost",
         [](RaftPump &pump, const std::string &) {
             pump.network.lost = 40;
         }},
        {"clock drift",
         [](RaftPump &pump, const std::string &target) {
             pump.at(target).drift = 1100;
         }},
    };
    return all;
}

void healAll(RaftPump &pump)
{
    pump.network = FakeNetwork();
    for (auto &[id, replica] : pump.replicas) {
        replica.disk.mood = DiskMood::Works;
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

bool changed(RaftPump &pump, const std::string &id, wire::ChangeMember::Change change)
{
    const FakeReplica *leading = pump.leader();
    if (leading == nullptr) {
        return false;
    }
    const bool wanted = isWanted(leading->core->membership(), id, change);
    if (!wanted && !pump.changePending) {
        askChange(pump, id, change);
    }
    return wanted && !pump.changePending;
}

bool converged(RaftPump &pump)
{
    const FakeReplica *leading = pump.leader();
    if (leading == nullptr || leading->appliedIndex != leading->core->log().lastIndex()) {
        return false;
    }
    const auto &members = leading->core->membership().replicas();
    return std::all_of(members.begin(), members.end(), [&pump, leading](const wire::Replica &member) {
        const FakeReplica &replica = pump.at(member.id());
        const bool lost = replica.disk.durable.diskId != member.disk_id();
        return lost || replica.state == leading->state;
    });
}

bool repaired(RaftPump &pump)
{
    const FakeReplica *leading = pump.leader();
    if (leading == nullptr) {
        return false;
    }
    for (const wire::Replica &member : leading->core->membership().replicas()) {
        if (pump.at(member.id()).disk.durable.diskId != member.disk_id()) {
            changed(pump, member.id(), wire::ChangeMember::CHANGE_REMOVE);
            return false;
        }
    }
    for (const auto &[id, replica] : pump.replicas) {
        if (!changed(pump, id, wire::ChangeMember::CHANGE_ADD)
            || !changed(pump, id, wire::ChangeMember::CHANGE_PROMOTE)) {
            return false;
        }
    }
    return true;
}

FakeReplica *follower(RaftPump &pump)
{
    const FakeReplica *leading = pump.leader();
    for (auto &[id, replica] : pump.replicas) {
        if (replica.core && !replica.frozen && &replica != leading) {
            return &replica;
        }
    }
    return nullptr;
}

} // namespace bergamotweir::tests
