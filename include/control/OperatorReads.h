#pragma once

#include "base/BootClock.h"
#include "control.pb.h"

#include <string>

namespace bergamotweir::control {

class Coordinator;
class State;

/**
 * Answers an operator's read request from the state of a leader whose leadership a quorum has just confirmed.
 * @param request get_table, get_history, get_status, get_owner, get_routes or get_in_force; any other is bad input
 * @return the reply; a status report does not contain what only the replica knows (membership, leader and term)
 */
wire::OperatorReply
answerRead(const State &state, const Coordinator &coordinator, const wire::OperatorRequest &request, BootTime now);

/** @return the metrics of a control replica in the Prometheus text format */
std::string metricsText(const State &state, const Coordinator &coordinator, BootTime now);

} // namespace bergamotweir::control
