#pragma once

#include "net/HttpCall.h"

#include <chrono>
#include <string>

namespace bergamotweir::process {

struct AgentState;

/** @return a health check of an upstream of a service, at the path that the routes name */
net::HttpCall healthCallTo(const AgentState &state,
                           const std::string &service,
                           const std::string &address,
                           std::chrono::milliseconds timeout);

} // namespace bergamotweir::process
