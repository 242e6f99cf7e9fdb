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
 * Fetches the condition of upstreams from their agents; only the agents measure it.
 * @param report lists the upstreams; if they have more agents than fit on a screen, none is polled
 * @return warm, cold, slow or draining by upstream, without the upstreams of agents that didn't answer in time
 */
std::map<UpstreamName, std::string> fetchConditions(const wire::StatusReport &report, Context &context);

} // namespace bergamotweir::cli
