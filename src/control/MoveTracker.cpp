#include "control/MoveTracker.h"

namespace bergamotweir::control {

Move *MoveTracker::find(const SliceName &slice)
{
    const auto found = this->moves.find(slice);
    return found == this->moves.end() ? nullptr : &found->second;
}

std::unordered_map<std::uint32_t, std::size_t> MoveTracker::countByUpstream() const
{
    std::unordered_map<std::uint32_t, std::size_t> counts;
    for (const auto &[slice, move] : this->moves) {
        ++counts[move.from];
        ++counts[move.to];
    }
    return counts;
}

std::set<std::uint64_t> MoveTracker::movingSlices(const std::string &service) const
{
    std::set<std::uint64_t> found;
    for (auto move = this->moves.lower_bound({service, 0}); move != this->moves.end(); ++move) {
        if (move->first.first != service) {
            break;
        }
        found.insert(move->first.second);
    }
    return found;
}

} // namespace bergamotweir::control
