#include "control/Assignment.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <unordered_map>

namespace bergamotweir::control {

namespace {

/** Loads that differ by less than this are equal, because sums of doubles depend on their order. */
constexpr double Epsilon = 1e-12;

/** Upper bound of the tolerated imbalance, so that a member that joins gets a part of the load in any case. */
constexpr double MaxTolerance = 0.8;

/** The target load and the current load of a member while moves are being decided. */
struct MemberLoad {
    std::uint32_t id = 0;
    double targetLoad = 0;
    double load = 0;
    /** Movable slices by load; the number is the slice's index in the input. */
    std::set<std::pair<double, std::size_t>> slices;

    double ratio() const
    {
        return this->load / this->targetLoad;
    }
};

/** Members ordered by the ratio of load to target load, so that both extremes are found without a search. */
class Balance
{
public:
    Balance(const std::vector<Member> &members, const std::vector<LoadedSlice> &slices)
    {
        std::unordered_map<std::uint32_t, std::size_t> indexes;
        double weights = 0;
        for (const Member &member : members) {
            indexes.emplace(member.id, this->memberLoads.size());
            this->memberLoads.push_back({.id = member.id, .targetLoad = member.weight, .load = 0, .slices = {}});
            weights += member.weight;
        }
        double total = 0;
        for (std::size_t number = 0; number < slices.size(); ++number) {
            const LoadedSlice &slice = slices[number];
            total += slice.load;
            const auto found = indexes.find(slice.owner);
            if (found == indexes.end()) {
                this->orphans.emplace_back(slice.load, number);
                continue;
            }
            MemberLoad &memberLoad = this->memberLoads[found->second];
            memberLoad.load += slice.load;
            if (!slice.moving) {
                memberLoad.slices.emplace(slice.load, number);
            }
        }
        for (std::size_t index = 0; index < this->memberLoads.size(); ++index) {
            MemberLoad &memberLoad = this->memberLoads[index];
            memberLoad.targetLoad *= std::max(total, Epsilon) / weights;
            this->byRatio.emplace(memberLoad.ratio(), index);
        }
    }

    MemberLoad &mostLoaded()
    {
        return this->memberLoads[this->byRatio.rbegin()->second];
    }

    MemberLoad &leastLoaded()
    {
        return this->memberLoads[this->byRatio.begin()->second];
    }

    void add(MemberLoad &memberLoad, double load, std::size_t number)
    {
        this->changeLoad(memberLoad, load);
        memberLoad.slices.emplace(load, number);
    }

    void remove(MemberLoad &memberLoad, double load, std::size_t number)
    {
        this->changeLoad(memberLoad, -load);
        memberLoad.slices.erase({load, number});
    }

    std::vector<MemberLoad> memberLoads;
    std::vector<std::pair<double, std::size_t>> orphans;

private:
    void changeLoad(MemberLoad &memberLoad, double by)
    {
        const auto index = static_cast<std::size_t>(&memberLoad - this->memberLoads.data());
        this->byRatio.erase({memberLoad.ratio(), index});
        memberLoad.load += by;
        this->byRatio.emplace(memberLoad.ratio(), index);
    }

    std::set<std::pair<double, std::size_t>> byRatio;
};

/**
 * Picks the slice to move away from a member: the smallest one that covers the need, or else the largest one.
 * @param maxLoad upper bound of the load; larger slices would only reverse the imbalance
 */
std::set<std::pair<double, std::size_t>>::const_iterator pickSlice(const MemberLoad &from, double need, double maxLoad)
{
    auto slice = from.slices.lower_bound({need - Epsilon, 0});
    if (slice == from.slices.end() || slice->first > maxLoad) {
        // No slice covers the need within the bound; take the largest one within the bound.
        slice = from.slices.upper_bound({maxLoad, std::numeric_limits<std::size_t>::max()});
        if (slice == from.slices.begin()) {
            return from.slices.end();
        }
        --slice;
    }
    return slice->first > Epsilon ? slice : from.slices.end();
}

/** @return the largest load that can move between two members without reversing the imbalance */
double maxLoadToMove(const MemberLoad &from, const MemberLoad &to)
{
    return (from.ratio() - to.ratio()) * std::min(from.targetLoad, to.targetLoad) - Epsilon;
}

void assignOrphans(Balance &balance, const std::vector<LoadedSlice> &slices, std::vector<SliceMove> &moves)
{
    std::sort(balance.orphans.begin(), balance.orphans.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : left.second < right.second;
    });
    for (const auto &[load, number] : balance.orphans) {
        MemberLoad &to = balance.leastLoaded();
        if (slices[number].moving) {
            continue;
        }
        moves.push_back({slices[number].begin, slices[number].owner, to.id});
        balance.add(to, load, number);
    }
}

/** Moves one slice from the most to the least loaded member. @return false when no slice fits */
bool moveSlice(Balance &balance, double need, const std::vector<LoadedSlice> &slices, std::vector<SliceMove> &moves)
{
    MemberLoad &from = balance.mostLoaded();
    MemberLoad &to = balance.leastLoaded();
    const auto slice = pickSlice(from, need, maxLoadToMove(from, to));
    if (slice == from.slices.end()) {
        return false;
    }
    const auto [load, number] = *slice;
    moves.push_back({slices[number].begin, from.id, to.id});
    balance.remove(from, load, number);
    balance.add(to, load, number);
    return true;
}

void rebalance(Balance &balance,
               double tolerance,
               const std::vector<LoadedSlice> &slices,
               std::vector<SliceMove> &moves)
{
    const std::size_t maxMoves = slices.size();
    for (std::size_t count = 0; count < maxMoves; ++count) {
        const MemberLoad &from = balance.mostLoaded();
        const MemberLoad &to = balance.leastLoaded();
        const double above = from.load - from.targetLoad * (1 + tolerance);
        const double below = to.targetLoad * (1 - tolerance) - to.load;
        const double need = std::max(above, below);
        if (need <= Epsilon || !moveSlice(balance, need, slices, moves)) {
            return;
        }
    }
}

/** Combines several moves of one slice into one, and drops those that end where they began. */
std::vector<SliceMove> combineMoves(const std::vector<SliceMove> &moves)
{
    std::vector<SliceMove> direct;
    std::unordered_map<std::uint64_t, std::size_t> indexes;
    for (const SliceMove &move : moves) {
        const auto [entry, added] = indexes.emplace(move.begin, direct.size());
        if (added) {
            direct.push_back(move);
        } else {
            direct[entry->second].to = move.to;
        }
    }
    std::erase_if(direct, [](const SliceMove &move) {
        return move.from == move.to;
    });
    return direct;
}

} // namespace

std::vector<SliceMove>
assign(const std::vector<Member> &members, const std::vector<LoadedSlice> &slices, double tolerance)
{
    if (members.empty()) {
        return {};
    }
    Balance balance(members, slices);
    std::vector<SliceMove> moves;
    assignOrphans(balance, slices, moves);
    rebalance(balance, tolerance, slices, moves);
    return combineMoves(moves);
}

double toleratedImbalance(double minimum, double headroom)
{
    return std::max(minimum, std::min(headroom - 1, MaxTolerance));
}

namespace {

using CapsInForce = std::unordered_map<std::uint32_t, double>;

/** What the members without a cap in force share. */
struct Remainder {
    double weight = 0;
    double share = 1;
};

Remainder remainderOf(const std::vector<Member> &members, const CapsInForce &inForce)
{
    Remainder rest;
    for (const Member &member : members) {
        const auto cap = inForce.find(member.id);
        rest.weight += cap == inForce.end() ? member.weight : 0;
        rest.share -= cap == inForce.end() ? 0 : cap->second;
    }
    return rest;
}

} // namespace

std::vector<Member> capWeights(std::vector<Member> members, const std::vector<LoadCap> &caps, double tolerance)
{
    CapsInForce inForce;
    std::size_t known = 0;
    // Each cap in force leaves more load to the others, which may then exceed theirs.
    do {
        known = inForce.size();
        const Remainder rest = remainderOf(members, inForce);
        for (const LoadCap &cap : caps) {
            const double target = cap.maxShare / (1 + tolerance);
            const auto member = std::find_if(members.begin(), members.end(), [&](const Member &candidate) {
                return candidate.id == cap.id;
            });
            if (member != members.end() && member->weight * rest.share > target * rest.weight) {
                inForce.emplace(cap.id, target);
            }
        }
    } while (inForce.size() > known && inForce.size() < members.size());
    const Remainder rest = remainderOf(members, inForce);
    const double weightPerShare = rest.weight > 0 ? rest.weight / rest.share : 1;
    for (Member &member : members) {
        const auto cap = inForce.find(member.id);
        member.weight = cap == inForce.end() ? member.weight : cap->second * weightPerShare;
    }
    return members;
}

double minChurn(const std::vector<Member> &members, const std::vector<LoadedSlice> &slices, double tolerance)
{
    if (members.empty()) {
        return 0;
    }
    const Balance balance(members, slices);
    double excess = 0;
    for (const auto &[load, number] : balance.orphans) {
        excess += load;
    }
    double deficit = 0;
    double total = excess;
    for (const MemberLoad &memberLoad : balance.memberLoads) {
        total += memberLoad.load;
        excess += std::max(0.0, memberLoad.load - memberLoad.targetLoad * (1 + tolerance));
        deficit += std::max(0.0, memberLoad.targetLoad * (1 - tolerance) - memberLoad.load);
    }
    return std::max(excess, deficit) / std::max(total, Epsilon);
}

double imbalance(const std::vector<Member> &members, const std::vector<LoadedSlice> &slices)
{
    const Balance balance(members, slices);
    double worst = 0;
    for (const MemberLoad &memberLoad : balance.memberLoads) {
        worst = std::max(worst, memberLoad.ratio());
    }
    return worst;
}

} // namespace bergamotweir::control
