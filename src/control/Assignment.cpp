#include "control/Assignment.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>
#include <unordered_map>

namespace bergamotweir::control {

namespace {

/** Loads closer than this count as equal: sums of doubles depend on their order. */
constexpr double Epsilon = 1e-12;

/** A member with what it carries while moves are being decided. */
struct Share {
    std::uint32_t id = 0;
    double rightful = 0;
    double load = 0;
    /** Movable slices by load; the number is the slice's place in the input. */
    std::set<std::pair<double, std::size_t>> slices;

    double ratio() const
    {
        return this->load / this->rightful;
    }
};

/** Shares ordered by how full they are, so that both ends are at hand. */
class Balance
{
public:
    Balance(const std::vector<Member> &members, const std::vector<LoadedSlice> &slices)
    {
        std::unordered_map<std::uint32_t, std::size_t> places;
        double weights = 0;
        for (const Member &member : members) {
            places.emplace(member.id, this->shares.size());
            this->shares.push_back({.id = member.id, .rightful = member.weight, .load = 0, .slices = {}});
            weights += member.weight;
        }
        double total = 0;
        for (std::size_t number = 0; number < slices.size(); ++number) {
            const LoadedSlice &slice = slices[number];
            total += slice.load;
            const auto place = places.find(slice.owner);
            if (place == places.end()) {
                this->orphans.emplace_back(slice.load, number);
                continue;
            }
            Share &share = this->shares[place->second];
            share.load += slice.load;
            if (!slice.moving) {
                share.slices.emplace(slice.load, number);
            }
        }
        for (std::size_t place = 0; place < this->shares.size(); ++place) {
            Share &share = this->shares[place];
            share.rightful *= std::max(total, Epsilon) / weights;
            this->byRatio.emplace(share.ratio(), place);
        }
    }

    Share &fullest()
    {
        return this->shares[this->byRatio.rbegin()->second];
    }

    Share &emptiest()
    {
        return this->shares[this->byRatio.begin()->second];
    }

    void add(Share &share, double load, std::size_t number)
    {
        this->changeLoad(share, load);
        share.slices.emplace(load, number);
    }

    void remove(Share &share, double load, std::size_t number)
    {
        this->changeLoad(share, -load);
        share.slices.erase({load, number});
    }

    std::vector<Share> shares;
    std::vector<std::pair<double, std::size_t>> orphans;

private:
    void changeLoad(Share &share, double by)
    {
        const auto place = static_cast<std::size_t>(&share - this->shares.data());
        this->byRatio.erase({share.ratio(), place});
        share.load += by;
        this->byRatio.emplace(share.ratio(), place);
    }

    std::set<std::pair<double, std::size_t>> byRatio;
};

/**
 * Picks what a member gives away: the smallest slice that meets the need, else the largest there is.
 * @param most larger slices would only turn the imbalance round
 */
std::set<std::pair<double, std::size_t>>::const_iterator pick(const Share &from, double need, double most)
{
    auto slice = from.slices.lower_bound({need - Epsilon, 0});
    if (slice == from.slices.end() || slice->first > most) {
        // Nothing meets the need within the bound; take the largest one that keeps it.
        slice = from.slices.upper_bound({most, std::numeric_limits<std::size_t>::max()});
        if (slice == from.slices.begin()) {
            return from.slices.end();
        }
        --slice;
    }
    return slice->first > Epsilon ? slice : from.slices.end();
}

/** @return the largest load which may go from the fuller to the emptier one without turning the imbalance round */
double mostToMove(const Share &from, const Share &to)
{
    return (from.ratio() - to.ratio()) * std::min(from.rightful, to.rightful) - Epsilon;
}

void placeOrphans(Balance &balance, const std::vector<LoadedSlice> &slices, std::vector<SliceMove> &moves)
{
    std::sort(balance.orphans.begin(), balance.orphans.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : left.second < right.second;
    });
    for (const auto &[load, number] : balance.orphans) {
        Share &to = balance.emptiest();
        if (slices[number].moving) {
            continue;
        }
        moves.push_back({slices[number].begin, slices[number].owner, to.id});
        balance.add(to, load, number);
    }
}

/** Moves one slice from the fullest to the emptiest member. @return false when no slice fits */
bool moveOne(Balance &balance, double need, const std::vector<LoadedSlice> &slices, std::vector<SliceMove> &moves)
{
    Share &from = balance.fullest();
    Share &to = balance.emptiest();
    const auto slice = pick(from, need, mostToMove(from, to));
    if (slice == from.slices.end()) {
        return false;
    }
    const auto [load, number] = *slice;
    moves.push_back({slices[number].begin, from.id, to.id});
    balance.remove(from, load, number);
    balance.add(to, load, number);
    return true;
}

void level(Balance &balance, double tolerance, const std::vector<LoadedSlice> &slices, std::vector<SliceMove> &moves)
{
    const std::size_t most = slices.size();
    for (std::size_t count = 0; count < most; ++count) {
        const Share &from = balance.fullest();
        const Share &to = balance.emptiest();
        const double above = from.load - from.rightful * (1 + tolerance);
        const double below = to.rightful * (1 - tolerance) - to.load;
        const double need = std::max(above, below);
        if (need <= Epsilon || !moveOne(balance, need, slices, moves)) {
            return;
        }
    }
}

/** A slice that was moved twice on the way to the result moves once. */
std::vector<SliceMove> withoutDetours(const std::vector<SliceMove> &moves)
{
    std::vector<SliceMove> direct;
    std::unordered_map<std::uint64_t, std::size_t> places;
    for (const SliceMove &move : moves) {
        const auto [place, added] = places.emplace(move.begin, direct.size());
        if (added) {
            direct.push_back(move);
        } else {
            direct[place->second].to = move.to;
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
    placeOrphans(balance, slices, moves);
    level(balance, tolerance, slices, moves);
    return withoutDetours(moves);
}

double minChurn(const std::vector<Member> &members, const std::vector<LoadedSlice> &slices, double tolerance)
{
    if (members.empty()) {
        return 0;
    }
    const Balance balance(members, slices);
    double must = 0;
    for (const auto &[load, number] : balance.orphans) {
        must += load;
    }
    double wanted = 0;
    double total = must;
    for (const Share &share : balance.shares) {
        total += share.load;
        must += std::max(0.0, share.load - share.rightful * (1 + tolerance));
        wanted += std::max(0.0, share.rightful * (1 - tolerance) - share.load);
    }
    return std::max(must, wanted) / std::max(total, Epsilon);
}

double imbalance(const std::vector<Member> &members, const std::vector<LoadedSlice> &slices)
{
    const Balance balance(members, slices);
    double worst = 0;
    for (const Share &share : balance.shares) {
        worst = std::max(worst, share.ratio());
    }
    return worst;
}

} // namespace bergamotweir::control
