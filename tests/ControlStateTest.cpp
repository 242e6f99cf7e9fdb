#include "control/State.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;

namespace {

constexpr const char *FirstTable = "service,keyed,weight\ncatalogue,yes,1\n";

/** Applies commands to a State at increasing versions. */
struct Log {
    control::State state;
    std::uint64_t index = 0;

    control::Applied apply(const wire::Command &command)
    {
        wire::Version version;
        version.set_term(1);
        version.set_index(++this->index);
        return this->state.apply(version, command);
    }

    wire::OperatorReply put(const std::string &id, std::uint64_t base, const std::string &csv)
    {
        wire::Command command;
        command.mutable_put_table()->set_change_id(id);
        command.mutable_put_table()->set_base_version(base);
        command.mutable_put_table()->set_csv(csv);
        command.mutable_put_table()->set_author(id + "'s author");
        return this->apply(command).result.operator_reply();
    }

    wire::OperatorReply mark(const std::string &id, const std::string &name, bool inService)
    {
        wire::Command command;
        command.mutable_mark()->set_change_id(id);
        command.mutable_mark()->set_name(name);
        command.mutable_mark()->set_in_service(inService);
        return this->apply(command).result.operator_reply();
    }

    bool assign(std::uint64_t begin, std::uint32_t owner, std::uint64_t epoch)
    {
        wire::Command command;
        command.mutable_assign()->set_service("catalogue");
        wire::SliceOwner &slice = *command.mutable_assign()->add_slices();
        slice.set_begin(begin);
        slice.set_owner(owner);
        slice.set_epoch(epoch);
        return this->apply(command).visible;
    }

    wire::ClaimReply claim(const std::string &attempt, std::uint64_t bodyHash, std::uint64_t unixMs = 1000)
    {
        wire::Command command;
        command.mutable_claim()->set_service("sweeps");
        command.mutable_claim()->set_idempotency_key("k1");
        command.mutable_claim()->set_attempt(attempt);
        command.mutable_claim()->set_body_hash(bodyHash);
        command.mutable_claim()->set_unix_ms(unixMs);
        return this->apply(command).result.claim();
    }

    bool record(const std::string &attempt, bool released, const std::string &body = {})
    {
        wire::Command command;
        command.mutable_claim_outcome()->set_service("sweeps");
        command.mutable_claim_outcome()->set_idempotency_key("k1");
        command.mutable_claim_outcome()->set_attempt(attempt);
        command.mutable_claim_outcome()->set_released(released);
        command.mutable_claim_outcome()->set_status(200);
        command.mutable_claim_outcome()->set_body(body);
        return this->apply(command).result.outcome().recorded();
    }

    control::Applied crash(std::uint64_t fingerprint, const std::string &incarnation, std::uint64_t unixMs)
    {
        wire::Command command;
        wire::CrashSuspect &suspect = *command.mutable_report_crash()->add_suspects();
        suspect.set_fingerprint(fingerprint);
        suspect.set_upstream_incarnation(incarnation);
        suspect.set_unix_ms(unixMs);
        return this->apply(command);
    }
};

} // namespace

// Guards against a silent undo: two operators edit version 1, so both changes name the same base. The second one must
// be refused as a conflict that names the differing rows and the author of the newest version, and must change nothing.
TEST_CASE(
    "two table changes from the same base: the second is a conflict that names the rows and the author of the first")
{
    Log log;
    REQUIRE(log.put("a", 0, FirstTable).status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(log.put("b", 1, "service,keyed,weight\ncatalogue,yes,2\n").table_version() == 2);
    const wire::OperatorReply late = log.put("c", 1, "service,keyed,weight\ncatalogue,yes,3\n");
    REQUIRE(late.status() == wire::OPERATOR_STATUS_CONFLICT);
    REQUIRE(late.table_version() == 2);
    REQUIRE(late.findings(0).message().find("b's author") != std::string::npos);
    REQUIRE(late.findings(1).message().find("weight 2 -> 3") != std::string::npos);
    REQUIRE(log.state.tables().table().upstream("catalogue", "x", "y").weight == 2);
}

// An operator loses the answer to a change, another change is applied, and the first one is resent. Without change ids
// the resend would fail as a conflict with itself, or a resent mark would undo a later mark.
TEST_CASE("a resent change gets its first answer and is not applied again")
{
    Log log;
    const wire::OperatorReply first = log.put("a", 0, FirstTable);
    log.put("b", 1, "service,keyed,weight\ncatalogue,yes,2\n");
    const wire::OperatorReply resent = log.put("a", 0, FirstTable);
    REQUIRE(resent.SerializeAsString() == first.SerializeAsString());
    REQUIRE(log.state.tables().tableVersion() == 2);
    log.mark("m1", "bne-a", false);
    log.mark("m2", "bne-a", true);
    REQUIRE(log.mark("m1", "bne-a", false).status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(log.state.tables().marks().failureDomainsOut.empty());
    REQUIRE(log.put("a", 2, FirstTable).status() == wire::OPERATOR_STATUS_CONFLICT);
    REQUIRE(log.state.tables().history(10).size() == 4);
}

TEST_CASE("a table that is wrong is refused with every finding and leaves the one in force")
{
    Log log;
    log.put("a", 0, FirstTable);
    const wire::OperatorReply reply = log.put("b", 1, "service,weight\ncatalogue,-1\ncatalogue,x\n");
    REQUIRE(reply.status() == wire::OPERATOR_STATUS_BAD_INPUT);
    REQUIRE(reply.findings_size() >= 2);
    REQUIRE(log.state.tables().tableVersion() == 1);
}

TEST_CASE("old tables are dropped by number and by bytes, the newest one never")
{
    constexpr std::size_t Megabyte = 1 << 20;
    Log log;
    const std::string large = "#" + std::string(Megabyte, 'x') + "\n" + FirstTable;
    for (std::uint64_t version = 0; version < 10; ++version) {
        REQUIRE(log.put(std::to_string(version), version, large).status() == wire::OPERATOR_STATUS_DONE);
    }
    REQUIRE(log.state.tables().text(1) == nullptr);
    REQUIRE(log.state.tables().text(10) != nullptr);
    REQUIRE(log.state.snapshot().size() < control::TableHistory::MaxStoredTableBytes + Megabyte);
}

// A leader with an outdated state proposes an owner made from an older assignment. Applied, it would replace a newer
// owner that is serving the slice. Only the direct successor of the epoch in force is accepted.
TEST_CASE("an assignment made from an older epoch is refused")
{
    Log log;
    log.put("a", 0, FirstTable);
    REQUIRE(log.assign(0, 7, 1));
    REQUIRE(log.assign(0, 8, 2));
    REQUIRE_FALSE(log.assign(0, 7, 2));
    REQUIRE_FALSE(log.assign(0, 9, 4));
    REQUIRE(log.state.services().at("catalogue").at(1)->second.owner == 8);
    SECTION("a split keeps owner and epoch; a merge gets an epoch above both")
    {
        REQUIRE(log.assign(100, 8, 2));
        REQUIRE(log.state.services().at("catalogue").slices().size() == control::State::InitialSlices + 1);
        REQUIRE(log.assign(100, 9, 3));
        wire::Command merge;
        merge.mutable_assign()->set_service("catalogue");
        merge.mutable_assign()->add_merged(100);
        REQUIRE_FALSE(log.apply(merge).visible);
        REQUIRE(log.assign(100, 8, 4));
        REQUIRE(log.apply(merge).visible);
        REQUIRE(log.state.services().at("catalogue").at(100)->first == 0);
        REQUIRE(log.state.services().at("catalogue").at(100)->second.epoch == 5);
    }
}

// Guards against a payment that runs twice: a caller loses the answer and resends the request through another agent,
// which sees only from the claim that the first agent may have dispatched it.
TEST_CASE("only one attempt ever owns a claim, and a later one gets its outcome")
{
    Log log;
    REQUIRE(log.claim("one", 5).verdict() == wire::CLAIM_VERDICT_GRANTED);
    REQUIRE(log.claim("one", 5).verdict() == wire::CLAIM_VERDICT_GRANTED);
    REQUIRE(log.claim("two", 5).verdict() == wire::CLAIM_VERDICT_IN_PROGRESS);
    REQUIRE(log.claim("two", 6).verdict() == wire::CLAIM_VERDICT_CONFLICT);
    REQUIRE_FALSE(log.record("two", true));
    REQUIRE(log.record("one", false, "paid"));
    REQUIRE(log.record("one", true));
    REQUIRE(log.claim("two", 5).verdict() == wire::CLAIM_VERDICT_RECORDED);
    REQUIRE(log.claim("one", 5).outcome().body() == "paid");
}

TEST_CASE("a released claim can be granted again, a full store refuses, an expired claim is removed")
{
    Log log{control::State(1)};
    REQUIRE(log.claim("one", 5, 1000).verdict() == wire::CLAIM_VERDICT_GRANTED);
    REQUIRE(log.record("one", true));
    REQUIRE(log.record("one", true));
    REQUIRE(log.claim("two", 5, 2000).verdict() == wire::CLAIM_VERDICT_GRANTED);
    wire::Command other;
    other.mutable_claim()->set_idempotency_key("k2");
    REQUIRE(log.apply(other).result.claim().verdict() == wire::CLAIM_VERDICT_FULL);
    wire::Command expire;
    expire.mutable_expire_claims()->set_before_unix_ms(2000);
    log.apply(expire);
    REQUIRE(log.state.claims().size() == 1);
    expire.mutable_expire_claims()->set_before_unix_ms(2001);
    log.apply(expire);
    REQUIRE(log.state.claims().size() == 0);
}

// A request crashes an upstream, its caller resends it and it crashes the next upstream. A repeated report of one crash
// must not be counted as a second crash.
TEST_CASE("a request is quarantined after crashes of two incarnations, and released after its expiry")
{
    Log log;
    REQUIRE_FALSE(log.crash(42, "i1", 1000).visible);
    REQUIRE_FALSE(log.crash(42, "i1", 1000).visible);
    REQUIRE(log.crash(42, "i2", 2000).update.quarantined(0) == 42);
    wire::Command expire;
    expire.mutable_expire_claims()->set_quarantine_before_unix_ms(2001);
    REQUIRE(log.apply(expire).update.released_from_quarantine(0) == 42);
}

TEST_CASE("a state restored from its snapshot answers like the one that it was taken from")
{
    Log log;
    log.put("a", 0, FirstTable);
    log.mark("m", "bne-b", false);
    log.assign(0, 7, 1);
    log.assign(50, 7, 1);
    log.claim("one", 5);
    log.record("one", false, "paid");
    log.crash(42, "i1", 1000);
    wire::Command upstream;
    upstream.mutable_put_upstream()->mutable_upstream()->set_name("u1");
    log.apply(upstream);
    Log copy;
    REQUIRE(copy.state.restore(log.state.snapshot()));
    copy.index = log.index;
    REQUIRE(copy.state.snapshot() == log.state.snapshot());
    REQUIRE(copy.state.fullUpdate().SerializeAsString() == log.state.fullUpdate().SerializeAsString());
    REQUIRE(copy.put("a", 0, FirstTable).status() == wire::OPERATOR_STATUS_DONE);
    REQUIRE(copy.claim("two", 5).verdict() == wire::CLAIM_VERDICT_RECORDED);
    REQUIRE(copy.crash(42, "i2", 2000).visible);
    REQUIRE_FALSE(copy.state.restore("not a snapshot"));
}
