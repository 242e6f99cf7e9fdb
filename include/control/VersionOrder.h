#pragma once

#include "control.pb.h"

#include <tuple>

namespace bergamotweir::control {

/** @return whether @p left is an earlier position in the replicated log than @p right */
inline bool isBefore(const wire::Version &left, const wire::Version &right)
{
    return std::tuple(left.term(), left.index()) < std::tuple(right.term(), right.index());
}

} // namespace bergamotweir::control
