#include "raft/RaftCore.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace bergamotweir;
using namespace std::chrono_literals;

namespace {

constexpr BootTime Start{1h};

wire::Membership abc()
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

/** Replica a of a, b and c, with the entries given behind the membership at index 1; played by hand. */
class Played
{
public:
    explicit Played(std::vector<wire::LogEntry> behind = {})
    {
        raft::PersistentState state;
        state.diskId = "disk a";
        state.entries.push_back(membershipAt(1, 1, abc()));
        state.entries.insert(state.entries.end(), behind.begin(), behind.end());
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

    /** Takes the actions of this turn; syncs at once unless told otherwise. */
    void turn(bool sync = true)
    {
        while (true) {
            std::vector<raft::Action> taken = this->core->takeActions();
            if (taken.empty()) {
                return;
            }
            for (raft::Action &action : taken) {
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
        this->turn(sync);
    }

    void becomeLeader()
    {
        this->now += 1s;
        this->core->tick(this->now);
        this->turn();
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
    std::vector<OneAction> taken() const
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

} // namespace

// An acknowledged change would vanish: a leader finds an entry of an older term on a majority and calls it committed,
// is lost, and a replica with a newer last term, which never saw that entry, leads and overwrites it.
TEST_CASE("an entry of an older term is not committed by counting its replicas", "[raft]")
{
    Played a({entryAt(2, 2), entryAt(3, 3)});
    a.becomeLeader();
    a.receive(a.acknowledgement("b", 3));
    REQUIRE(a.core->commitIndex() == 0);
    a.receive(a.acknowledgement("b", 4));
    REQUIRE(a.core->commitIndex() == 4);
}

// An operator reads a state that was replaced: an answer to an older round, sent before the leader was replaced,
// arrives after the request and would confirm it.
TEST_CASE("a confirmation counts only answers to rounds begun after it was asked for", "[raft]")
{
    Played a;
    a.becomeLeader();
    a.receive(a.acknowledgement("b", 2));
    a.core->confirm(1);
    a.turn();
    a.core->confirm(2);
    a.turn();
    a.receive(a.acknowledgement("b", 2, 1));
    REQUIRE(a.taken<raft::Confirmed>().size() == 1);
    REQUIRE(a.taken<raft::Confirmed>().front().request == 1);
    a.receive(a.acknowledgement("b", 2, 2));
    REQUIRE(a.taken<raft::Confirmed>().size() == 2);
}

// The same from a new leader that doesn't know yet how far the log was committed before it.
TEST_CASE("a new leader confirms nothing before an entry of its own term is applied", "[raft]")
{
    Played a({entryAt(2, 1)});
    a.becomeLeader();
    a.core->confirm(1);
    a.turn();
    a.receive(a.acknowledgement("b", 1, 1));
    REQUIRE(a.taken<raft::Confirmed>().empty());
    a.receive(a.acknowledgement("b", 3, 0));
    a.receive(a.acknowledgement("b", 3, 1));
    REQUIRE(a.taken<raft::Confirmed>().size() == 1);
}

// A leader that works is unseated by a replica that lost sight of it alone.
TEST_CASE("a replica that hears its leader takes no higher term from a candidate, unless handed over", "[raft]")
{
    Played a;
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

// Voters disagree about who counts: a membership that was never committed stays in force after its entry is replaced.
TEST_CASE("a membership ends with its entry", "[raft]")
{
    wire::Membership more = abc();
    more.add_replicas()->set_id("d");
    Played a({membershipAt(2, 1, more)});
    REQUIRE(a.core->membership().replicas_size() == 4);
    wire::RaftMessage append = a.append(2, 1, 1);
    *append.mutable_append_request()->add_entries() = entryAt(2, 2);
    a.receive(append);
    REQUIRE(a.core->membership().replicas_size() == 3);
}

// A committed entry is forgotten with a crash: an entry is replaced while the disk is busy, and the sync of the old
// one is taken for the sync of the new one.
TEST_CASE("the sync of a replaced entry doesn't count for the one in its place", "[raft]")
{
    Played a;
    wire::RaftMessage first = a.append(1, 1, 1);
    *first.mutable_append_request()->add_entries() = entryAt(2, 1);
    a.receive(first, false);
    a.receive(a.append(2, 1, 1), false);
    const raft::Ticket termSaved = a.lastTicket;
    wire::RaftMessage second = a.append(2, 1, 1);
    *second.mutable_append_request()->add_entries() = entryAt(2, 2);
    a.receive(second, false);
    a.core->diskSynced(termSaved);
    a.turn(false);
    a.actions.clear();
    a.receive(a.append(2, 2, 2), false);
    REQUIRE(a.taken<raft::SendMessage>().back().message.append_reply().match_index() == 1);
    a.core->diskSynced(a.lastTicket);
    a.receive(a.append(2, 2, 2));
    REQUIRE(a.taken<raft::SendMessage>().back().message.append_reply().match_index() == 2);
}

// A planned stop becomes an election without a winner: the replica asked to take over misses entries and can't win.
TEST_CASE("leadership is handed over only to a replica that holds the whole log", "[raft]")
{
    Played a({entryAt(2, 1)});
    a.becomeLeader();
    a.receive(a.acknowledgement("b", 2));
    a.core->transferLeadership();
    a.turn();
    const auto asked = [&a] {
        const std::vector<raft::SendMessage> sent = a.taken<raft::SendMessage>();
        return std::any_of(sent.begin(), sent.end(), [](const raft::SendMessage &send) {
            return send.message.has_hand_over();
        });
    };
    REQUIRE_FALSE(asked());
    a.receive(a.acknowledgement("b", 3));
    REQUIRE(asked());
}

// A message that no correct leader sends, with a hole between its entries, must not stop or confuse a replica.
TEST_CASE("a malformed append is ignored", "[raft]")
{
    Played a;
    wire::RaftMessage append = a.append(1, 1, 1);
    *append.mutable_append_request()->add_entries() = entryAt(3, 1);
    a.receive(append);
    REQUIRE(a.core->log().lastIndex() == 1);
    REQUIRE(a.taken<raft::SendMessage>().empty());
}

// A replica came back with another disk: neither what is meant for its old disk nor what it answers may count.
TEST_CASE("messages for another disk and answers from another disk are ignored", "[raft]")
{
    Played a;
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
