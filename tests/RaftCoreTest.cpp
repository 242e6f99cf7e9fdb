#include "raft/RaftCore.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>

using namespace bergamotweir;
using namespace std::chrono_literals;

namespace {

constexpr BootTime Start{1h};

wire::Membership threeVoters()
{
    wire::Membership membership;
    for (const char *id : {"a", "b", "c"}) {
        wire::Replica *replica = membership.add_replicas();
        replica->set_id(id);
        replica->set_address(id);
        replica->set_disk_id(std::string("disk ") + id);
        replica->set_voter(true);
    }
    return membership;
}

wire::LogEntry entryAt(std::uint64_t index, std::uint64_t term, const std::string &payload = "x")
{
    wire::LogEntry entry;
    entry.set_index(index);
    entry.set_term(term);
    entry.set_kind(wire::ENTRY_KIND_COMMAND);
    entry.set_payload(payload);
    return entry;
}

wire::LogEntry membershipAt(std::uint64_t index, std::uint64_t term, const wire::Membership &membership)
{
    wire::LogEntry entry = entryAt(index, term, membership.SerializeAsString());
    entry.set_kind(wire::ENTRY_KIND_MEMBERSHIP);
    return entry;
}

/** Replica a of the group a, b and c. Its log has the membership at index 1, followed by the entries given. */
class ManualReplica
{
public:
    explicit ManualReplica(std::vector<wire::LogEntry> entriesAfter = {})
    {
        raft::PersistentState state;
        state.diskId = "disk a";
        state.entries.push_back(membershipAt(1, 1, threeVoters()));
        state.entries.insert(state.entries.end(), entriesAfter.begin(), entriesAfter.end());
        state.term = state.entries.back().term();
        this->core.emplace(raft::Self{"a", "a", {}, false}, raft::RaftSettings{}, state, 1, Start);
    }

    wire::RaftMessage from(const std::string &id, std::uint64_t term) const
    {
        wire::RaftMessage message;
        message.set_from(id);
        message.set_from_disk("disk " + id);
        message.set_from_address(id);
        message.set_to("a");
        message.set_to_disk("disk a");
        message.set_term(term);
        return message;
    }

    /** Collects the actions until there are none left, and completes disk writes at once if @p sync is set. */
    void collectActions(bool sync = true)
    {
        while (true) {
            std::vector<raft::Action> newActions = this->core->takeActions();
            if (newActions.empty()) {
                return;
            }
            for (raft::Action &action : newActions) {
                if (const auto *write = std::get_if<raft::WriteDisk>(&action)) {
                    this->lastTicket = write->ticket;
                    if (sync) {
                        this->core->diskSynced(write->ticket);
                    }
                }
                this->actions.push_back(std::move(action));
            }
        }
    }

    void receive(const wire::RaftMessage &message, bool sync = true)
    {
        this->core->receive(message, this->now);
        this->collectActions(sync);
    }

    void becomeLeader()
    {
        this->now += 1s;
        this->core->tick(this->now);
        this->collectActions();
        wire::RaftMessage vote = this->from("b", this->core->term() + 1);
        vote.mutable_vote_reply()->set_granted(true);
        vote.mutable_vote_reply()->set_pre_vote(true);
        this->receive(vote);
        vote.mutable_vote_reply()->set_pre_vote(false);
        this->receive(vote);
        REQUIRE(this->core->role() == raft::Role::Leader);
    }

    wire::RaftMessage acknowledgement(const std::string &id, std::uint64_t match, std::uint64_t round = 0) const
    {
        wire::RaftMessage message = this->from(id, this->core->term());
        message.mutable_append_reply()->set_accepted(true);
        message.mutable_append_reply()->set_match_index(match);
        message.mutable_append_reply()->set_round(round);
        return message;
    }

    wire::RaftMessage append(std::uint64_t term, std::uint64_t previous, std::uint64_t previousTerm) const
    {
        wire::RaftMessage message = this->from("b", term);
        message.mutable_append_request()->set_previous_index(previous);
        message.mutable_append_request()->set_previous_term(previousTerm);
        return message;
    }

    template<typename OneAction>
    std::vector<OneAction> actionsOf() const
    {
        std::vector<OneAction> found;
        for (const raft::Action &action : this->actions) {
            if (const auto *one = std::get_if<OneAction>(&action)) {
                found.push_back(*one);
            }
        }
        return found;
    }

    std::optional<raft::RaftCore> core;
    BootTime now = Start;
    std::vector<raft::Action> actions;
    raft::Ticket lastTicket = 0;
};

/** A group of one replica, whose disk completes writes at once. */
class SingleReplica
{
public:
    explicit SingleReplica(const raft::RaftSettings &settings)
    {
        raft::Self self{"a", "a", {}, false};
        wire::Replica *const replica = self.initial.add_replicas();
        replica->set_id("a");
        replica->set_address("a");
        replica->set_voter(true);
        raft::PersistentState state;
        state.diskId = "disk a";
        this->core.emplace(self, settings, state, 1, Start);
        this->core->tick(Start + 10s);
        this->performAll();
    }

    /** Commits a command that takes the state machine @p applyTime. */
    void commit(const std::string &command, std::chrono::milliseconds applyTime = 0ms)
    {
        REQUIRE(this->core->propose(command));
        this->applyTime = applyTime;
        this->performAll();
    }

    std::size_t bytesInLog() const
    {
        std::size_t bytes = 0;
        for (std::uint64_t index = this->core->log().base() + 1; index <= this->core->log().lastIndex(); ++index) {
            bytes += this->core->log().at(index).payload().size();
        }
        return bytes;
    }

    std::optional<raft::RaftCore> core;
    int snapshots = 0;

private:
    void performAll()
    {
        for (auto actions = this->core->takeActions(); !actions.empty(); actions = this->core->takeActions()) {
            for (const raft::Action &action : actions) {
                if (const auto *const write = std::get_if<raft::WriteDisk>(&action)) {
                    this->core->diskSynced(write->ticket);
                } else if (const auto *const take = std::get_if<raft::TakeSnapshot>(&action)) {
                    ++this->snapshots;
                    this->core->snapshotTaken(take->index, "state");
                } else if (std::holds_alternative<raft::ApplyEntry>(action)) {
                    this->core->recordApplyTime(this->applyTime);
                }
            }
        }
    }

    std::chrono::milliseconds applyTime{0};
};

} // namespace

// Guards against the loss of an acknowledged entry: a leader commits an entry of an older term because a majority holds
// it, and fails; a replica with a later last term but without that entry becomes leader and overwrites it.
TEST_CASE("an entry of an older term is not committed by counting replicas", "[raft]")
{
    ManualReplica a({entryAt(2, 2), entryAt(3, 3)});
    a.becomeLeader();
    a.receive(a.acknowledgement("b", 3));
    REQUIRE(a.core->commitIndex() == 0);
    a.receive(a.acknowledgement("b", 4));
    REQUIRE(a.core->commitIndex() == 4);
}

// Guards against a stale read: the answer to an earlier round, sent before the leader was replaced, arrives after the
// request and would confirm it.
TEST_CASE("a confirmation counts only answers to rounds started after the request", "[raft]")
{
    ManualReplica a;
    a.becomeLeader();
    a.receive(a.acknowledgement("b", 2));
    a.core->confirm(1);
    a.collectActions();
    a.core->confirm(2);
    a.collectActions();
    a.receive(a.acknowledgement("b", 2, 1));
    REQUIRE(a.actionsOf<raft::Confirmed>().size() == 1);
    REQUIRE(a.actionsOf<raft::Confirmed>().front().request == 1);
    a.receive(a.acknowledgement("b", 2, 2));
    REQUIRE(a.actionsOf<raft::Confirmed>().size() == 2);
}

// Guards against a stale read from a new leader that does not know yet up to which index the log was committed.
TEST_CASE("a new leader confirms nothing before an entry of its own term is applied", "[raft]")
{
    ManualReplica a({entryAt(2, 1)});
    a.becomeLeader();
    a.core->confirm(1);
    a.collectActions();
    a.receive(a.acknowledgement("b", 1, 1));
    REQUIRE(a.actionsOf<raft::Confirmed>().empty());
    a.receive(a.acknowledgement("b", 3, 0));
    a.receive(a.acknowledgement("b", 3, 1));
    REQUIRE(a.actionsOf<raft::Confirmed>().size() == 1);
}

// Guards against a working leader that is deposed because a single replica lost contact with it.
TEST_CASE("a replica in contact with its leader accepts a higher term from a candidate only in a leadership transfer",
          "[raft]")
{
    ManualReplica a;
    a.receive(a.append(1, 1, 1));
    wire::RaftMessage request = a.from("c", 5);
    request.mutable_vote_request()->set_last_log_index(9);
    request.mutable_vote_request()->set_last_log_term(1);
    a.receive(request);
    REQUIRE(a.core->term() == 1);
    request.mutable_vote_request()->set_handed_over(true);
    a.receive(request);
    REQUIRE(a.core->term() == 5);
    REQUIRE(a.core->votedFor() == "c/disk c");
}

// Guards against voters that use different quorums: a membership that was never committed must not stay in effect after
// its entry was replaced.
TEST_CASE("a membership is reverted when its entry is truncated", "[raft]")
{
    wire::Membership more = threeVoters();
    more.add_replicas()->set_id("d");
    ManualReplica a({membershipAt(2, 1, more)});
    REQUIRE(a.core->membership().replicas_size() == 4);
    wire::RaftMessage append = a.append(2, 1, 1);
    *append.mutable_append_request()->add_entries() = entryAt(2, 2);
    a.receive(append);
    REQUIRE(a.core->membership().replicas_size() == 3);
}

// Guards against a committed entry that is lost in a crash: an entry is replaced while the disk is busy, and the sync
// of the old entry is mistaken for the sync of the new one.
TEST_CASE("the sync of a replaced entry does not count for the one in its place", "[raft]")
{
    ManualReplica a;
    wire::RaftMessage first = a.append(1, 1, 1);
    *first.mutable_append_request()->add_entries() = entryAt(2, 1);
    a.receive(first, false);
    a.receive(a.append(2, 1, 1), false);
    const raft::Ticket termSaved = a.lastTicket;
    wire::RaftMessage second = a.append(2, 1, 1);
    *second.mutable_append_request()->add_entries() = entryAt(2, 2);
    a.receive(second, false);
    a.core->diskSynced(termSaved);
    a.collectActions(false);
    a.actions.clear();
    a.receive(a.append(2, 2, 2), false);
    REQUIRE(a.actionsOf<raft::SendMessage>().back().message.append_reply().match_index() == 1);
    a.core->diskSynced(a.lastTicket);
    a.receive(a.append(2, 2, 2));
    REQUIRE(a.actionsOf<raft::SendMessage>().back().message.append_reply().match_index() == 2);
}

// Guards against a planned stop that causes an election without a winner: a target that misses entries cannot win.
TEST_CASE("leadership is transferred only to a replica that holds the whole log", "[raft]")
{
    ManualReplica a({entryAt(2, 1)});
    a.becomeLeader();
    a.receive(a.acknowledgement("b", 2));
    a.core->transferLeadership();
    a.collectActions();
    const auto wasRequested = [&a] {
        const std::vector<raft::SendMessage> sent = a.actionsOf<raft::SendMessage>();
        return std::any_of(sent.begin(), sent.end(), [](const raft::SendMessage &send) {
            return send.message.has_hand_over();
        });
    };
    REQUIRE_FALSE(wasRequested());
    a.receive(a.acknowledgement("b", 3));
    REQUIRE(wasRequested());
}

// Guards against a message that no correct leader sends: the index of its first entry does not follow the previous
// index.
TEST_CASE("a malformed append is ignored", "[raft]")
{
    ManualReplica a;
    wire::RaftMessage append = a.append(1, 1, 1);
    *append.mutable_append_request()->add_entries() = entryAt(3, 1);
    a.receive(append);
    REQUIRE(a.core->log().lastIndex() == 1);
    REQUIRE(a.actionsOf<raft::SendMessage>().empty());
}

// Guards against a replica that restarted with another disk: messages for the old disk and answers from the new one
// must not count.
TEST_CASE("messages for another disk and answers from another disk are ignored", "[raft]")
{
    ManualReplica a;
    wire::RaftMessage request = a.from("b", 7);
    request.mutable_vote_request()->set_last_log_index(9);
    request.mutable_vote_request()->set_last_log_term(7);
    request.set_to_disk("disk before");
    a.receive(request);
    REQUIRE(a.core->term() == 1);
    a.becomeLeader();
    wire::RaftMessage answer = a.acknowledgement("b", 2);
    answer.set_from_disk("disk b, new");
    a.receive(answer);
    REQUIRE(a.core->commitIndex() == 0);
}

// Guards against a log that grows in memory until no replica can start.
TEST_CASE("the entries in memory are bounded by their bytes, however few they are", "[raft]")
{
    constexpr std::size_t Every = 100000;
    constexpr std::size_t Trailing = 50000;
    constexpr std::size_t CommandBytes = 4000;
    SingleReplica replica(raft::RaftSettingsBuilder().snapshotBytes(Every, Trailing).build().value());
    for (int number = 0; number < 500; ++number) {
        replica.commit(std::string(CommandBytes, 'x'));
        // A snapshot is due after once to twice the bytes.
        REQUIRE(replica.bytesInLog() <= 2 * Every + Trailing + CommandBytes);
    }
    REQUIRE(replica.snapshots >= 10);
}

// Guards against a start that takes as long as all changes of a large table took to apply.
TEST_CASE("a snapshot is due once entries have taken long to apply, however small they are", "[raft]")
{
    SingleReplica replica(raft::RaftSettingsBuilder().snapshotApplyTime(100ms).build().value());
    std::uint64_t longest = 0;
    for (int number = 0; number < 400; ++number) {
        replica.commit("x", 5ms);
        const std::uint64_t covered = replica.core->lastSnapshot() ? replica.core->lastSnapshot()->lastIndex : 0;
        longest = std::max(longest, replica.core->commitIndex() - covered);
    }
    // Twice 100 ms of 5 ms each, and the entries that begin the log and the term.
    REQUIRE(longest <= 2 * 20 + 3);
}
