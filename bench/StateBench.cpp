#include "control/Assignment.h"
#include "control/Coordinator.h"
#include "control/State.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <pcg_random.hpp>
#include <string>
#include <vector>

using namespace bergamotweir;
using namespace bergamotweir::control;

namespace {

constexpr std::uint64_t Seed = 20261202;
constexpr std::size_t SampledKeys = 200000;

using Clock = std::chrono::steady_clock;

double milliseconds(Clock::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

std::vector<Member> makeMembers(std::size_t count)
{
    std::vector<Member> members;
    members.reserve(count + 1);
    for (std::size_t number = 1; number <= count; ++number) {
        members.push_back({static_cast<std::uint32_t>(number), 1.0});
    }
    return members;
}

/**
 * Makes slices as planSplits() does: 64, doubled until each member can have its number of slices. Loads vary by up to a
 * tenth around 1.
 */
std::vector<LoadedSlice> makeSlices(std::size_t members, std::size_t perMember)
{
    std::size_t count = State::InitialSlices;
    while (count < members * perMember) {
        count *= 2;
    }
    pcg32 random(Seed);
    std::vector<LoadedSlice> slices;
    slices.reserve(count);
    for (std::size_t number = 0; number < count; ++number) {
        const double load = 0.9 + 0.2 * random(1000) / 1000.0;
        slices.push_back({number, 0, load, false});
    }
    return slices;
}

/** Applies moves to the slices. @return the share of the load that moved */
double applyMoves(std::vector<LoadedSlice> &slices, const std::vector<SliceMove> &moves)
{
    double total = 0;
    for (const LoadedSlice &slice : slices) {
        total += slice.load;
    }
    double moved = 0;
    for (const SliceMove &move : moves) {
        slices[move.begin].owner = move.to;
        moved += slices[move.begin].load;
    }
    return moved / total;
}

/** @return the churn of the common baseline, owner = members[hash modulo number of members] */
double moduloChurn(const std::vector<Member> &before, const std::vector<Member> &after)
{
    pcg64 random(Seed);
    std::size_t moved = 0;
    for (std::size_t key = 0; key < SampledKeys; ++key) {
        const std::uint64_t hash = random();
        moved += before[hash % before.size()].id != after[hash % after.size()].id ? 1 : 0;
    }
    return static_cast<double>(moved) / SampledKeys;
}

void printChurn(const char *event,
                std::size_t perMember,
                const std::vector<Member> &before,
                const std::vector<Member> &after)
{
    std::vector<LoadedSlice> slices = makeSlices(before.size(), perMember);
    applyMoves(slices, assign(before, slices));
    const double minimum = minChurn(after, slices);
    const double moved = applyMoves(slices, assign(after, slices));
    std::printf("%-10s %7zu %7zu %8.4f %8.4f %7.2f %8.4f %9.3f\n",
                event,
                before.size(),
                perMember,
                moved,
                minimum,
                minimum > 0 ? moved / minimum : 0,
                moduloChurn(before, after),
                imbalance(after, slices));
}

void benchChurn()
{
    std::printf("churn as share of the load, tolerance %.2f\n", DefaultTolerance);
    std::printf("event      members per-mem    moved    least   ratio   modulo imbalance\n");
    for (const std::size_t count : {4U, 11U, 100U, 1000U}) {
        for (const std::size_t perMember : {4U, 8U, 16U, 32U}) {
            const std::vector<Member> before = makeMembers(count);
            std::vector<Member> lost = before;
            lost.erase(lost.begin() + 1);
            printChurn("lost", perMember, before, lost);
            std::vector<Member> joined = before;
            joined.push_back({static_cast<std::uint32_t>(count + 1), 1.0});
            printChurn("joined", perMember, before, joined);
            std::vector<Member> halved = before;
            halved[0].weight = 0.5;
            printChurn("halved", perMember, before, halved);
            std::vector<Member> thirdOut(before.begin(), before.end() - static_cast<std::ptrdiff_t>(count / 3));
            printChurn("third out", perMember, before, thirdOut);
        }
    }
}

/** Restarts every member in turn; load is rebalanced after each return, or only after the last one. */
void benchRollingRestart()
{
    std::printf("\nrolling restart of the fleet: load moved in all, in fleet loads; each leave alone costs 1\n");
    std::printf("members  even each return  even at the end  hash modulo\n");
    for (const std::size_t count : {11U, 100U, 640U}) {
        double moved[2] = {0, 0};
        double modulo = 0;
        const std::vector<Member> all = makeMembers(count);
        for (const bool afterEachReturn : {true, false}) {
            std::vector<LoadedSlice> slices = makeSlices(count, 16);
            applyMoves(slices, assign(all, slices));
            for (std::size_t number = 0; number < count; ++number) {
                std::vector<Member> without = all;
                without.erase(without.begin() + static_cast<std::ptrdiff_t>(number));
                constexpr double OrphansOnlyTolerance = 1e9;
                moved[afterEachReturn ? 0 : 1] += applyMoves(
                    slices, assign(without, slices, afterEachReturn ? DefaultTolerance : OrphansOnlyTolerance));
                if (afterEachReturn) {
                    moved[0] += applyMoves(slices, assign(all, slices));
                    modulo += number % 10 == 0 ? 2 * moduloChurn(all, without) : 0;
                }
            }
            moved[afterEachReturn ? 0 : 1] += applyMoves(slices, assign(all, slices));
        }
        std::printf("%7zu %17.2f %16.2f %12.0f\n", count, moved[0], moved[1], modulo * 10);
    }
}

void benchAssignTime()
{
    std::printf("\nassign() at 6400 members, one lost\nper-mem  slices  first ms  one lost ms\n");
    for (const std::size_t perMember : {4U, 8U, 16U, 32U}) {
        std::vector<Member> members = makeMembers(6400);
        std::vector<LoadedSlice> slices = makeSlices(members.size(), perMember);
        const auto start = Clock::now();
        applyMoves(slices, assign(members, slices));
        const auto first = Clock::now();
        members.pop_back();
        applyMoves(slices, assign(members, slices));
        std::printf("%7zu %7zu %9.1f %12.1f\n",
                    perMember,
                    slices.size(),
                    milliseconds(first - start),
                    milliseconds(Clock::now() - first));
    }
}

/** A state with one service, its upstreams and evenly assigned slices. */
class Fleet
{
public:
    explicit Fleet(std::size_t upstreams)
    {
        wire::Command table;
        table.mutable_put_table()->set_change_id("table");
        table.mutable_put_table()->set_csv("service,keyed\ncatalogue,yes\n");
        this->apply(table);
        for (std::size_t number = 1; number <= upstreams; ++number) {
            wire::Command put;
            wire::UpstreamInfo &upstream = *put.mutable_put_upstream()->mutable_upstream();
            const std::string name = std::to_string(number);
            upstream.set_service("catalogue");
            upstream.set_name("catalogue-" + name);
            upstream.set_failure_domain("bne-a");
            upstream.set_agent("agent-" + name);
            upstream.set_peer_address("10.0.0.1:7000");
            upstream.set_operator_address("10.0.0.1:7001");
            upstream.set_incarnation("0123456789abcdef");
            upstream.set_serving(true);
            upstream.set_slots(12);
            this->apply(put);
        }
    }

    Applied apply(const wire::Command &command)
    {
        wire::Version version;
        version.set_term(1);
        version.set_index(++this->index);
        return this->state.apply(version, command);
    }

    void assignSlices(std::size_t slices, std::size_t owners)
    {
        wire::Command command;
        command.mutable_assign()->set_service("catalogue");
        for (std::size_t number = 0; number < slices; ++number) {
            wire::SliceOwner &slice = *command.mutable_assign()->add_slices();
            slice.set_begin((~std::uint64_t{0} / slices) * number);
            slice.set_owner(0);
            slice.set_epoch(0);
        }
        this->apply(command);
        for (wire::SliceOwner &slice : *command.mutable_assign()->mutable_slices()) {
            slice.set_owner(static_cast<std::uint32_t>(1 + slice.begin() % owners));
            slice.set_epoch(1);
        }
        this->apply(command);
    }

    State state;
    std::uint64_t index = 0;
};

void benchSnapshot()
{
    std::printf(
        "\nsnapshot, upstreams with 16 slices each\nupstreams  snapshot KB  full update KB  save ms  restore ms\n");
    for (const std::size_t upstreams : {11U, 100U, 400U, 1600U, 6400U}) {
        Fleet fleet(upstreams);
        fleet.assignSlices(upstreams * 16, upstreams);
        const auto start = Clock::now();
        const std::string bytes = fleet.state.snapshot();
        const auto saved = Clock::now();
        State copy;
        copy.restore(bytes);
        std::printf("%9zu %12.1f %15.1f %8.2f %11.2f\n",
                    upstreams,
                    static_cast<double>(bytes.size()) / 1024,
                    static_cast<double>(fleet.state.fullUpdate().ByteSizeLong()) / 1024,
                    milliseconds(saved - start),
                    milliseconds(Clock::now() - saved));
    }
}

/** Measures the cost of a day's claims to the event loop that also sends the group's heartbeats. */
void benchClaims()
{
    constexpr std::size_t BodyBytes = 200;
    std::printf("\nclaims with answers of %zu bytes\nclaims  us per claim  snapshot KB  save ms  restore ms\n",
                BodyBytes);
    for (const std::size_t claims : {10000U, 50000U, 100000U, 200000U}) {
        Fleet fleet(11);
        const auto start = Clock::now();
        for (std::size_t number = 0; number < claims; ++number) {
            wire::Command command;
            wire::ClaimRequest &claim = *command.mutable_claim();
            claim.set_service("enrolments");
            claim.set_idempotency_key("0123456789abcdef-" + std::to_string(number));
            claim.set_agent("agent-1");
            claim.set_attempt("attempt-0123456789abcdef");
            claim.set_unix_ms(number);
            fleet.apply(command);
            wire::Command record;
            record.mutable_claim_outcome()->set_service(claim.service());
            record.mutable_claim_outcome()->set_idempotency_key(claim.idempotency_key());
            record.mutable_claim_outcome()->set_attempt(claim.attempt());
            record.mutable_claim_outcome()->set_body(std::string(BodyBytes, 'x'));
            fleet.apply(record);
        }
        const auto claimed = Clock::now();
        const std::string bytes = fleet.state.snapshot();
        const auto saved = Clock::now();
        State copy;
        copy.restore(bytes);
        std::printf("%6zu %13.2f %12.0f %8.1f %11.1f\n",
                    claims,
                    milliseconds(claimed - start) * 1000 / static_cast<double>(claims),
                    static_cast<double>(bytes.size()) / 1024,
                    milliseconds(saved - claimed),
                    milliseconds(Clock::now() - saved));
    }
}

/** Passes one heartbeat of every agent through the coordinator. @return bytes of the messages of one agent */
std::size_t sendHeartbeats(Coordinator &coordinator, std::size_t agents, std::uint64_t sequence, BootTime now)
{
    wire::AgentMessage renew;
    renew.mutable_renew()->set_sequence(sequence);
    renew.mutable_renew()->mutable_in_force()->set_term(1);
    renew.mutable_renew()->mutable_in_force()->set_index(100000);
    std::size_t bytes = renew.ByteSizeLong();
    for (std::size_t agent = 1; agent <= agents; ++agent) {
        coordinator.received(agent, renew, now);
    }
    coordinator.confirmed(true, now);
    coordinator.confirmed(true, now);
    for (const Action &action : coordinator.takeActions()) {
        if (const auto *const send = std::get_if<SendAction>(&action); send != nullptr && send->session == 1) {
            bytes += send->message->ByteSizeLong();
        }
    }
    return bytes;
}

void benchRenewals()
{
    // Added to each message: gRPC 5 bytes, HTTP/2 9, TCP/IP with its acknowledgement about 100.
    constexpr std::size_t FramingBytes = 114;
    constexpr std::size_t PerSecond = 10;
    constexpr std::size_t Rounds = 50;
    std::printf(
        "\nrenewals, core of the leader alone\nagents  us per renewal  tick ms  message bytes  KB/s per agent\n");
    for (const std::size_t agents : {100U, 400U, 1600U, 6400U}) {
        Fleet fleet(agents);
        fleet.assignSlices(agents * 16, agents);
        Coordinator coordinator(CoordinatorSettings{}, fleet.state);
        BootTime now{std::chrono::seconds(1)};
        coordinator.lead(now);
        for (std::size_t agent = 1; agent <= agents; ++agent) {
            wire::Hello hello;
            hello.set_agent("agent-" + std::to_string(agent));
            hello.set_peer_address("10.0.0.1:7000");
            coordinator.opened(agent, hello, now);
        }
        coordinator.confirmed(true, now);
        coordinator.confirmed(true, now);
        coordinator.takeActions();
        std::size_t bytes = 0;
        Clock::duration heartbeatTime{};
        Clock::duration tickTime{};
        for (std::size_t round = 1; round <= Rounds; ++round) {
            const auto start = Clock::now();
            bytes = sendHeartbeats(coordinator, agents, round, now);
            const auto heartbeatsEndedAt = Clock::now();
            now += std::chrono::milliseconds(10);
            coordinator.tick(now);
            tickTime += Clock::now() - heartbeatsEndedAt;
            heartbeatTime += heartbeatsEndedAt - start;
        }
        std::printf("%6zu %15.2f %8.2f %14zu %15.2f\n",
                    agents,
                    milliseconds(heartbeatTime) * 1000 / static_cast<double>(Rounds * agents),
                    milliseconds(tickTime) / Rounds,
                    bytes,
                    static_cast<double>((bytes + 2 * FramingBytes) * PerSecond) / 1024);
    }
}

} // namespace

int main()
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    benchChurn();
    benchRollingRestart();
    benchAssignTime();
    benchSnapshot();
    benchClaims();
    benchRenewals();
    return 0;
}
