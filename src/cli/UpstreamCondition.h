#pragma once

#include "control.pb.h"

#include <map>
#include <string>
#include <utility>

namespace bergamotweir::cli {

struct Context;

/** Service and name of an upstream. */
using UpstreamName = std::pair<std::string, std::string>;

/**
 * Asks agents in what condition their upstreams are; only they measure it.
 * @param report names the upstreams; more than a screen of them are not asked
 * @return warm, cold, slow or draining by upstream; none for an agent that didn't answer in time
 */
std::map<UpstreamName, std::string> askConditions(const wire::StatusReport &report, Context &context);

} // namespace bergamotweir::cli
