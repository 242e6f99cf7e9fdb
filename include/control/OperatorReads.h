#pragma once

#include "base/BootClock.h"
#include "control.pb.h"

#include <string>

namespace bergamotweir::control {

class Coordinator;
class State;

/**
 * Answers an operator's question from the state of a leader that a quorum has just confirmed.
 * @param request get_table, get_history, get_status, get_owner or get_in_force; anything else is bad input
 * @return the reply; a status report lacks what only the replica knows (membership, leader and term)
 */
wire::OperatorReply
answerRead(const State &state, const Coordinator &coordinator, const wire::OperatorRequest &request, BootTime now);

/** @return the figures of a control replica as Prometheus text */
std::string metricsText(const State &state, const Coordinator &coordinator, BootTime now);

} // namespace bergamotweir::control
