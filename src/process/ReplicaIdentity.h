#pragma once

#include "base/Result.h"
#include "process/ControlSettings.h"

namespace bergamotweir::process {

/**
 * Fills in who a replica is, where its group keeps its own membership: its id, the first members, and whether it joins.
 *
 * Guards against two groups, and against a replica that comes back without its disk under its old id: its votes and
 * entries are gone, and a group that counted it as the same would lose what it acknowledged. Only a seed on the very
 * first start of the deployment founds the group; every other empty disk is a new replica that asks to join.
 * @param settings with the group set
 * @return nothing, or why the data folder can't be read
 */
Findings takeIdentity(ControlSettings &settings);

} // namespace bergamotweir::process
