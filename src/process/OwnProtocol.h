#pragma once

#include "process/AgentProtocol.h"

namespace bergamotweir::process {

/** @return the product's own protocol towards callers and upstreams (docs/CONTRACT.md) */
const AgentProtocol &ownProtocol();

} // namespace bergamotweir::process
