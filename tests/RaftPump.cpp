#include "RaftPump.h"

#include <algorithm>

namespace bergamotweir::tests {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds TickInterval{10};
constexpr std::chrono::microseconds MaxSyncTime{3000};
constexpr std::chrono::microseconds MaxSlowSyncTime{400000};

} // namespace

RaftPump::RaftPump(std::uint64_t seed, const std::vector<std::string> &ids)
    : random(seed)
    , seed(seed)
    , settings(raft::RaftSettingsBuilder().messageBytes(200, 16).snapshots(40, 10).build().value())
{
    for (const std::string &id : ids) {
        wire::Replica *replica = this->initial.add_replicas();
        replica->set_id(id);
        replica->set_address(id);
        replica->set_voter(true);
    }
    for (const std::string &id : ids) {
        this->start(id);
    }
}

FakeReplica &RaftPump::at(const std::string &id)
{
    FakeReplica &replica = this->replicas[id];
    replica.id = id;
    return replica;
}

std::chrono::microseconds RaftPump::randomUpTo(std::chrono::microseconds maxDelay)
{
    return std::chrono::microseconds(this->random(static_cast<std::uint32_t>(maxDelay.count()) + 1));
}

BootTime RaftPump::clockOf(const FakeReplica &replica) const
{
    return BootTime(1h + std::chrono::nanoseconds(this->now.count() * replica.clockRatePermille));
}

void RaftPump::schedule(FakeReplica &replica, std::chrono::microseconds delay, std::function<void()> event)
{
    const int incarnation = replica.incarnation;
    auto run = [this, &replica, incarnation, event = std::move(event)] {
        if (replica.incarnation != incarnation) {
            return;
        }
        if (replica.frozen) {
            replica.deferredEvents.push_back(event);
            return;
        }
        event();
        this->endTurn(replica);
    };
    this->events.emplace(this->now + delay, std::move(run));
}

void RaftPump::start(const std::string &id, bool join)
{
    FakeReplica &replica = this->at(id);
    replica.join = replica.join || join;
    replica.incarnation++;
    replica.appliedIndex = 0;
    replica.state.clear();
    if (replica.disk.durable.diskId.empty()) {
        replica.disk.durable.diskId = "disk" + std::to_string(++this->diskCount);
    }
    const raft::Self self{id, id, this->initial, replica.join};
    const std::uint64_t startSeed = this->seed + static_cast<std::uint64_t>(replica.incarnation);
    replica.core.emplace(self, this->settings, replica.disk.durable, startSeed, this->clockOf(replica));
    this->endTurn(replica);
    this->tick(replica);
}

void RaftPump::tick(FakeReplica &replica)
{
    this->schedule(replica, TickInterval, [this, &replica] {
        replica.core->tick(this->clockOf(replica));
        this->tick(replica);
        if (this->isLoaded) {
            this->proposeAndConfirm(replica);
        }
    });
}

void RaftPump::proposeAndConfirm(FakeReplica &replica)
{
    const std::optional<wire::Version> version = replica.core->propose("command " + std::to_string(this->steps));
    if (!version) {
        return;
    }
    this->proposals[{replica.id, version->index()}] = version->term();
    this->confirms[++this->lastRequest] = this->acknowledged;
    replica.core->confirm(this->lastRequest);
}

void RaftPump::kill(const std::string &id, bool torn)
{
    FakeReplica &replica = this->at(id);
    crash(replica.disk, torn ? &this->random : nullptr);
    this->changePending = false;
    replica.incarnation++;
    replica.core.reset();
    replica.frozen = false;
    replica.deferredEvents.clear();
    std::erase_if(this->proposals, [&id](const auto &proposal) {
        return proposal.first.first == id;
    });
}

void RaftPump::freeze(const std::string &id)
{
    this->at(id).frozen = true;
}

void RaftPump::thaw(const std::string &id)
{
    FakeReplica &replica = this->at(id);
    replica.frozen = false;
    for (const std::function<void()> &event : std::exchange(replica.deferredEvents, {})) {
        event();
    }
    this->endTurn(replica);
}

void RaftPump::step()
{
    const auto next = this->events.begin();
    this->now = next->first;
    const std::function<void()> event = std::move(next->second);
    this->events.erase(next);
    this->steps++;
    event();
}

bool RaftPump::runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const std::chrono::microseconds end = this->now + limit;
    while (!condition()) {
        if (this->now > end) {
            return false;
        }
        this->step();
    }
    return true;
}

void RaftPump::runFor(std::chrono::milliseconds time)
{
    const std::chrono::microseconds end = this->now + time;
    while (this->events.begin()->first <= end) {
        this->step();
    }
}

FakeReplica *RaftPump::leader()
{
    FakeReplica *best = nullptr;
    for (auto &[id, replica] : this->replicas) {
        const bool leads = replica.core && !replica.frozen && replica.core->isLeader();
        if (leads && (best == nullptr || replica.core->term() > best->core->term())) {
            best = &replica;
        }
    }
    return best;
}

void RaftPump::callLeader(const std::function<void(raft::RaftCore &, raft::RequestId)> &request)
{
    if (FakeReplica *asked = this->leader()) {
        request(*asked->core, ++this->lastRequest);
        this->endTurn(*asked);
    }
}

void RaftPump::endTurn(FakeReplica &replica)
{
    while (replica.core) {
        std::vector<raft::Action> actions = replica.core->takeActions();
        if (actions.empty()) {
            this->checks.checkTurn(replica, this->replicas);
            return;
        }
        for (raft::Action &action : actions) {
            std::visit(
                [&](auto &one) {
                    this->perform(replica, one);
                },
                action);
        }
    }
}

void RaftPump::deliver(const raft::SendMessage &send)
{
    FakeReplica &target = this->at(send.address);
    const bool isBlocked = this->network.blockedLinks.contains({send.message.from(), send.address});
    if (isBlocked || !target.core || this->random(100) < this->network.lossPercent) {
        return;
    }
    this->schedule(target, this->randomUpTo(this->network.maxLatency), [this, &target, message = send.message] {
        target.core->receive(message, this->clockOf(target));
    });
}

void RaftPump::startSync(FakeReplica &replica)
{
    if (replica.disk.syncing || replica.disk.pending.empty()) {
        return;
    }
    replica.disk.syncing = true;
    const auto maxDelay = replica.disk.mode == DiskMode::Slow ? MaxSlowSyncTime : MaxSyncTime;
    this->schedule(replica, this->randomUpTo(maxDelay), [this, &replica, count = replica.disk.pending.size()] {
        replica.disk.syncing = false;
        if (replica.disk.mode == DiskMode::Fails) {
            replica.core->diskFailed();
            return;
        }
        const auto end = replica.disk.pending.begin() + static_cast<std::ptrdiff_t>(count);
        const raft::Ticket ticket = std::prev(end)->ticket;
        for (auto batch = replica.disk.pending.begin(); batch != end; ++batch) {
            for (const raft::DiskOperation &operation : batch->operations) {
                applyOperation(replica.disk.durable, operation);
            }
        }
        replica.disk.pending.erase(replica.disk.pending.begin(), end);
        replica.core->diskSynced(ticket);
        this->startSync(replica);
    });
}

void RaftPump::perform(FakeReplica &replica, raft::WriteDisk &action)
{
    replica.disk.pending.push_back(std::move(action));
    this->startSync(replica);
}

void RaftPump::perform(FakeReplica &replica, raft::SendMessage &action)
{
    this->checks.checkSent(replica, action.message);
    this->deliver(action);
    if (this->random(100) < this->network.duplicatePercent) {
        this->deliver(action);
    }
}

void RaftPump::perform(FakeReplica &replica, raft::ApplyEntry &action)
{
    this->checks.checkApplied(replica, action.entry);
    replica.appliedIndex = action.entry.index();
    replica.state = stateAfter(replica.state, action.entry);
    const auto proposal = this->proposals.find({replica.id, action.entry.index()});
    if (proposal != this->proposals.end()) {
        const bool own = proposal->second == action.entry.term();
        this->acknowledged = own ? std::max(this->acknowledged, action.entry.index()) : this->acknowledged;
        this->proposals.erase(proposal);
    }
}

void RaftPump::perform(FakeReplica &replica, raft::RestoreSnapshot &action)
{
    this->checks.checkRestored(replica, *action.snapshot);
    replica.appliedIndex = action.snapshot->lastIndex;
    replica.state = action.snapshot->data;
    this->restored++;
}

void RaftPump::perform(FakeReplica &replica, raft::TakeSnapshot &action)
{
    replica.core->snapshotTaken(action.index, replica.state);
}

void RaftPump::perform(FakeReplica &replica, raft::LostLeadership &)
{
    std::erase_if(this->proposals, [&replica](const auto &proposal) {
        return proposal.first.first == replica.id;
    });
}

void RaftPump::perform(FakeReplica &replica, raft::Confirmed &action)
{
    const auto asked = this->confirms.extract(action.request);
    if (action.leads) {
        this->confirmed++;
        this->checks.checkConfirmed(replica, asked.mapped());
    }
}

void RaftPump::perform(FakeReplica &, raft::MemberChanged &action)
{
    this->changePending = false;
    this->changes.push_back(std::move(action));
}

void RaftPump::perform(FakeReplica &, raft::LeadershipTransferEnded &)
{
    this->transfersEnded++;
}

} // namespace bergamotweir::tests
