#pragma once

#include "agent/GrantOrders.h"

#include <string>

namespace bergamotweir::process {

/** Answer of an upstream to a grant or release order. */
struct OrderAnswer {
    agent::OrderOutcome outcome = agent::OrderOutcome::Unknown;
    /** Set by a release, for the next owner of the keys; empty if the upstream provided none. */
    std::string handover;
};

} // namespace bergamotweir::process
