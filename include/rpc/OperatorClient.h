#pragma once

#include "base/Result.h"
#include "control.pb.h"

#include <chrono>
#include <string>
#include <vector>

namespace bergamotweir::rpc {

/**
 * Sends an operator's request to the leader of the control group and waits for the answer.
 * Every request is idempotent (changes carry a change id), so it is retried until the timeout.
 * @param addresses IP:port of the control replicas, at least one
 * @param request the request
 * @param timeout for all attempts together
 * @return the leader's reply; OPERATOR_STATUS_UNKNOWN if a replica may have received a request that was not answered,
 *         OPERATOR_STATUS_REFUSED if no replica can have received one, both with findings
 */
wire::OperatorReply callOperator(const std::vector<std::string> &addresses,
                                 const wire::OperatorRequest &request,
                                 std::chrono::milliseconds timeout);

} // namespace bergamotweir::rpc
