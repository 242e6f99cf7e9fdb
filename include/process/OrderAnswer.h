#pragma once

#include "agent/GrantOrders.h"

#include <string>

namespace bergamotweir::process {

/** What an upstream answered to a grant or a release. */
struct OrderAnswer {
    agent::OrderOutcome outcome = agent::OrderOutcome::Unknown;
    /** From a release, for the next owner of the keys; empty when the upstream gave nothing. */
    std::string handover;
};

} // namespace bergamotweir::process
