#pragma once

#include "base/Result.h"
#include "process/ControlSettings.h"

namespace bergamotweir::process {

/**
 * Fills in the identity of a replica whose group manages its own membership: its id, the first members, and whether it
 * joins.
 *
 * Prevents two groups from forming, and a replica that lost its disk from returning under its old id: its votes and
 * entries are lost, and a group that counted it as the same replica could lose changes that it acknowledged. Only a
 * seed on the first start of the deployment forms the group; any other replica with an empty disk gets a new id and
 * asks to join.
 * @param settings with the group set
 * @return nothing, or why the data folder can't be read
 */
Findings determineIdentity(ControlSettings &settings);

} // namespace bergamotweir::process
