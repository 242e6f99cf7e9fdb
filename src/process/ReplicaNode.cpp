#include "process/ReplicaNode.h"

#include "base/BootClock.h"
#include "disk/Storage.h"
#include "loop/EventLoop.h"
#include "loop/Log.h"
#include "raft/RaftCore.h"
#include "rpc/RaftTransport.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace bergamotweir::process {

namespace {

/** How often the consensus core's clock advances; a fifth of a heartbeat. */
constexpr std::chrono::milliseconds TickInterval{10};

/**
 * Time in a row for which entries are applied. A replica that starts applies its whole log; a leader that did so in one
 * go would send no heartbeats meanwhile, and be replaced by the next one, which has its whole log to apply as well.
 */
constexpr std::chrono::milliseconds MaxApplyTime{10};

/** Larger commands are refused: a command with its envelope must fit into one message. */
constexpr std::size_t MaxCommandBytes = rpc::RaftTransport::MaxMessageBytes / 2;

constexpr loop::Log Log("replica");

wire::Version versionOf(std::uint64_t term, std::uint64_t index)
{
    wire::Version version;
    version.set_term(term);
    version.set_index(index);
    return version;
}

} // namespace

struct ReplicaNode::Parts {
    struct Proposal {
        std::uint64_t term;
        std::function<void(ProposeResult)> done;
    };

    Parts(loop::EventLoop &loop, ReplicaSettings settings, ReplicaHooks hooks)
        : loop(loop)
        , settings(std::move(settings))
        , hooks(std::move(hooks))
    {
    }

    Findings openParts(disk::FileOperations files);
    void postIfAlive(std::function<void()> task);
    void joinRequested(const wire::RaftMessage &message);
    void scheduleCoreActions();
    void performCoreActions();
    void performStateActions();
    void abandonProposals();
    void abandonProposal(std::uint64_t index);
    void diskFailed(const Findings &findings);

    void perform(raft::WriteDisk &action);
    void perform(raft::SendMessage &action);
    void perform(raft::ApplyEntry &action);
    void perform(raft::RestoreSnapshot &action);
    void perform(raft::TakeSnapshot &action);
    void perform(raft::BecameLeader &action);
    void perform(raft::LostLeadership &action);
    void perform(raft::Confirmed &action);
    void perform(raft::MemberChanged &action);
    void perform(raft::LeadershipTransferEnded &action);

    loop::EventLoop &loop;
    const ReplicaSettings settings;
    const ReplicaHooks hooks;
    const std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::unique_ptr<disk::Storage> storage;
    std::unique_ptr<rpc::RaftTransport> transport;
    std::optional<raft::RaftCore> core;
    loop::TimerId tick = 0;
    bool coreActionsScheduled = false;
    /** Actions that depend on the order in which entries are applied. Messages and writes to the disk don't wait for
     * them. */
    std::deque<raft::Action> stateActions;
    bool stateActionsScheduled = false;
    bool leading = false;
    wire::Version applied;
    raft::RequestId lastRequest = 0;
    std::map<std::uint64_t, Proposal> proposals; ///< By index in the log.
    std::map<raft::RequestId, std::function<void(bool)>> confirms;
    std::map<raft::RequestId, std::function<void(ProposeResult)>> changes;
    std::vector<std::function<void()>> leadershipTransfers;
};

Findings ReplicaNode::Parts::openParts(disk::FileOperations files)
{
    Result<std::unique_ptr<disk::Storage>> opened =
        disk::Storage::open(this->settings.dataFolder, this->settings.id, std::move(files));
    if (!opened) {
        return opened.error();
    }
    this->storage = std::move(opened.value());
    const rpc::RaftTransportSettings listen{this->settings.address, this->settings.raftPort};
    Result<std::unique_ptr<rpc::RaftTransport>> transport =
        rpc::RaftTransport::open(this->loop, listen, [this](const wire::RaftMessage &message) {
            if (message.has_join()) {
                this->joinRequested(message);
                return;
            }
            this->core->receive(message, BootClock::now());
            this->scheduleCoreActions();
        });
    if (!transport) {
        return transport.error();
    }
    this->transport = std::move(transport.value());
    raft::Self self;
    self.id = this->settings.id;
    self.address = this->settings.address + ":" + std::to_string(this->transport->port());
    self.initial = this->settings.initial;
    for (wire::Replica &replica : *self.initial.mutable_replicas()) {
        replica.set_voter(true);
        replica.clear_disk_id();
    }
    self.join = this->settings.join;
    this->core.emplace(
        std::move(self), this->settings.raft, this->storage->takeState(), this->settings.seed, BootClock::now());
    this->storage->start({.synced =
                              [this, &loop = this->loop, alive = this->alive](raft::Ticket ticket) {
                                  loop.post([this, alive, ticket] {
                                      if (*alive) {
                                          this->core->diskSynced(ticket);
                                          this->scheduleCoreActions();
                                      }
                                  });
                              },
                          .failed =
                              [this, &loop = this->loop, alive = this->alive](const Findings &findings) {
                                  loop.post([this, alive, findings] {
                                      if (*alive) {
                                          this->diskFailed(findings);
                                      }
                                  });
                              }});
    this->tick = this->loop.every(TickInterval, [this] {
        this->core->tick(BootClock::now());
        this->performCoreActions();
    });
    this->performCoreActions();
    return {};
}

void ReplicaNode::Parts::postIfAlive(std::function<void()> task)
{
    this->loop.post([alive = this->alive, task = std::move(task)] {
        if (*alive) {
            task();
        }
    });
}

void ReplicaNode::Parts::joinRequested(const wire::RaftMessage &message)
{
    if (this->leading) {
        if (this->hooks.joinRequested) {
            this->hooks.joinRequested(message.join().replica());
        }
        return;
    }
    // Forwarded once only: two replicas that each take the other for the leader would otherwise forward it forever.
    const bool alreadyForwarded = !message.to().empty();
    for (const wire::Replica &replica : this->core->membership().replicas()) {
        if (!alreadyForwarded && replica.id() == this->core->leaderId()) {
            wire::RaftMessage copy = message;
            copy.set_to(replica.id());
            this->transport->send(replica.address(), copy);
        }
    }
}

/** Defers the actions to the end of the loop turn, so that all work of the turn shares one append and one sync. */
void ReplicaNode::Parts::scheduleCoreActions()
{
    if (this->coreActionsScheduled) {
        return;
    }
    this->coreActionsScheduled = true;
    this->postIfAlive([this] {
        this->coreActionsScheduled = false;
        this->performCoreActions();
    });
}

void ReplicaNode::Parts::performCoreActions()
{
    for (raft::Action &action : this->core->takeActions()) {
        if (auto *const write = std::get_if<raft::WriteDisk>(&action)) {
            this->perform(*write);
        } else if (auto *const send = std::get_if<raft::SendMessage>(&action)) {
            this->perform(*send);
        } else {
            this->stateActions.push_back(std::move(action));
        }
    }
    if (!this->stateActionsScheduled) {
        this->performStateActions();
    }
}

/** Performs the actions in order; those that are left after MaxApplyTime in a later loop turn. */
void ReplicaNode::Parts::performStateActions()
{
    const BootTime startedAt = BootClock::now();
    while (!this->stateActions.empty() && BootClock::now() - startedAt < MaxApplyTime) {
        raft::Action action = std::move(this->stateActions.front());
        this->stateActions.pop_front();
        std::visit(
            [this](auto &one) {
                this->perform(one);
            },
            action);
    }
    this->stateActionsScheduled = !this->stateActions.empty();
    if (this->stateActionsScheduled) {
        this->postIfAlive([this] {
            this->performStateActions();
        });
    }
}

void ReplicaNode::Parts::diskFailed(const Findings &findings)
{
    Log.error("stopped: the disk can't be written");
    Log.error(findings);
    this->core->diskFailed();
    this->performCoreActions();
    if (this->hooks.stopped) {
        this->hooks.stopped(findings);
    }
}

void ReplicaNode::Parts::perform(raft::WriteDisk &action)
{
    this->storage->submit(std::move(action));
}

void ReplicaNode::Parts::perform(raft::SendMessage &action)
{
    this->transport->send(action.address, action.message);
}

void ReplicaNode::Parts::perform(raft::ApplyEntry &action)
{
    const wire::LogEntry &entry = action.entry;
    this->applied = versionOf(entry.term(), entry.index());
    if (entry.kind() != wire::ENTRY_KIND_COMMAND) {
        return;
    }
    ProposeResult result;
    result.kind = ProposeOutcome::Applied;
    result.version = this->applied;
    const BootTime startedAt = BootClock::now();
    result.result = this->hooks.apply(this->applied, entry.payload());
    this->core->recordApplyTime(BootClock::now() - startedAt);
    const auto found = this->proposals.find(entry.index());
    if (found == this->proposals.end()) {
        return;
    }
    const Proposal proposal = std::move(found->second);
    this->proposals.erase(found);
    if (proposal.term != entry.term()) {
        result.kind = ProposeOutcome::Unknown;
        result.result.clear();
    }
    proposal.done(std::move(result));
}

void ReplicaNode::Parts::perform(raft::RestoreSnapshot &action)
{
    this->applied = versionOf(action.snapshot->lastTerm, action.snapshot->lastIndex);
    Log.info("restored a snapshot at index " + std::to_string(action.snapshot->lastIndex));
    this->hooks.restore(this->applied, action.snapshot->data);
}

void ReplicaNode::Parts::perform(raft::TakeSnapshot &action)
{
    this->core->snapshotTaken(action.index, this->hooks.snapshot());
    this->scheduleCoreActions();
}

void ReplicaNode::Parts::perform(raft::BecameLeader &action)
{
    Log.info("leads in term " + std::to_string(action.term));
    this->leading = true;
    this->hooks.leadershipChanged(true, action.term);
}

void ReplicaNode::Parts::perform(raft::LostLeadership &action)
{
    Log.info("no longer leads, term " + std::to_string(action.term));
    this->leading = false;
    this->abandonProposals();
    this->hooks.leadershipChanged(false, action.term);
}

void ReplicaNode::Parts::abandonProposals()
{
    for (auto &[index, proposal] : std::exchange(this->proposals, {})) {
        ProposeResult result;
        result.kind = ProposeOutcome::Unknown;
        result.version = versionOf(proposal.term, index);
        proposal.done(std::move(result));
    }
}

/** Ends the proposal that an earlier leadership of this replica made at an index, if its loss is still to be performed.
 */
void ReplicaNode::Parts::abandonProposal(std::uint64_t index)
{
    auto found = this->proposals.extract(index);
    if (found.empty()) {
        return;
    }
    ProposeResult result;
    result.kind = ProposeOutcome::Unknown;
    result.version = versionOf(found.mapped().term, index);
    found.mapped().done(std::move(result));
}

void ReplicaNode::Parts::perform(raft::Confirmed &action)
{
    auto confirm = this->confirms.extract(action.request);
    confirm.mapped()(action.leads);
}

void ReplicaNode::Parts::perform(raft::MemberChanged &action)
{
    ProposeResult result;
    result.version = versionOf(action.term, action.index);
    result.findings = std::move(action.findings);
    switch (action.outcome) {
    case raft::ChangeOutcome::Committed:
        result.kind = ProposeOutcome::Applied;
        break;
    case raft::ChangeOutcome::Refused:
        result.kind = ProposeOutcome::Refused;
        break;
    case raft::ChangeOutcome::Unknown:
        result.kind = ProposeOutcome::Unknown;
        break;
    }
    auto change = this->changes.extract(action.request);
    change.mapped()(std::move(result));
}

void ReplicaNode::Parts::perform(raft::LeadershipTransferEnded &)
{
    for (const std::function<void()> &done : std::exchange(this->leadershipTransfers, {})) {
        done();
    }
}

Result<std::unique_ptr<ReplicaNode>>
ReplicaNode::open(loop::EventLoop &loop, ReplicaSettings settings, ReplicaHooks hooks, disk::FileOperations files)
{
    auto parts = std::make_unique<Parts>(loop, std::move(settings), std::move(hooks));
    Findings found = parts->openParts(std::move(files));
    if (!found.empty()) {
        return found;
    }
    return std::unique_ptr<ReplicaNode>(new ReplicaNode(std::move(parts)));
}

ReplicaNode::ReplicaNode(std::unique_ptr<Parts> parts)
    : parts(std::move(parts))
{
}

ReplicaNode::~ReplicaNode()
{
    *this->parts->alive = false;
    this->parts->loop.cancel(this->parts->tick);
    this->parts->transport.reset();
    this->parts->storage.reset();
}

void ReplicaNode::propose(std::string command, std::function<void(ProposeResult)> done)
{
    ProposeResult refused;
    if (command.size() > MaxCommandBytes) {
        refused.kind = ProposeOutcome::Refused;
        refused.findings = oneFinding("command", "is larger than " + std::to_string(MaxCommandBytes) + " bytes");
    } else if (const std::optional<wire::Version> version = this->parts->core->propose(std::move(command))) {
        this->parts->abandonProposal(version->index());
        this->parts->proposals[version->index()] = {version->term(), std::move(done)};
        this->parts->scheduleCoreActions();
        return;
    }
    this->parts->loop.post([done = std::move(done), refused = std::move(refused)] {
        done(refused);
    });
}

void ReplicaNode::confirmLeadership(std::function<void(bool)> done)
{
    const raft::RequestId request = ++this->parts->lastRequest;
    this->parts->confirms[request] = std::move(done);
    this->parts->core->confirm(request);
    this->parts->scheduleCoreActions();
}

bool ReplicaNode::isLeader() const
{
    return this->parts->leading;
}

std::uint64_t ReplicaNode::term() const
{
    return this->parts->core->term();
}

std::string ReplicaNode::leaderControlAddress() const
{
    const std::string leader = this->leaderId();
    for (const wire::Replica &replica : this->parts->core->membership().replicas()) {
        if (replica.id() == leader) {
            return replica.control_address();
        }
    }
    return {};
}

std::string ReplicaNode::leaderId() const
{
    return this->parts->core->leaderId();
}

wire::Version ReplicaNode::applied() const
{
    return this->parts->applied;
}

wire::Membership ReplicaNode::membership() const
{
    return this->parts->core->membership();
}

std::uint16_t ReplicaNode::raftPort() const
{
    return this->parts->transport->port();
}

void ReplicaNode::changeMembership(const wire::ChangeMember &change, std::function<void(ProposeResult)> done)
{
    if (!this->parts->leading) {
        this->parts->loop.post([done = std::move(done)] {
            done(ProposeResult{});
        });
        return;
    }
    const raft::RequestId request = ++this->parts->lastRequest;
    this->parts->changes[request] = std::move(done);
    this->parts->core->changeMember(request, change);
    this->parts->scheduleCoreActions();
}

void ReplicaNode::requestJoin(const std::vector<std::string> &addresses)
{
    wire::RaftMessage message;
    message.set_from(this->parts->settings.id);
    wire::Replica &self = *message.mutable_join()->mutable_replica();
    self.set_id(this->parts->settings.id);
    self.set_address(this->parts->settings.address + ":" + std::to_string(this->raftPort()));
    self.set_control_address(this->parts->settings.controlAddress);
    for (const std::string &address : addresses) {
        if (address != self.address()) {
            this->parts->transport->send(address, message);
        }
    }
}

std::map<std::string, std::chrono::nanoseconds> ReplicaNode::silences() const
{
    return this->parts->core->silences();
}

std::set<std::string> ReplicaNode::caughtUpLearners() const
{
    return this->parts->core->caughtUpLearners();
}

void ReplicaNode::transferLeadership(std::function<void()> done)
{
    this->parts->leadershipTransfers.push_back(std::move(done));
    this->parts->core->transferLeadership();
    this->parts->scheduleCoreActions();
}

} // namespace bergamotweir::process
