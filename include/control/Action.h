#pragma once

#include "control.pb.h"

#include <cstdint>
#include <memory>
#include <variant>

namespace bergamotweir::control {

/** Identifies a session with an agent; never 0 and never reused within one process. */
using SessionId = std::uint64_t;

/** Appends a command to the replicated log; the outcome is reported through Coordinator::proposed(). */
struct ProposeAction {
    std::uint64_t proposal = 0;
    wire::Command command;
};

/** Sends a message on a session; messages keep their order. One message may be shared by many sessions. */
struct SendAction {
    SessionId session = 0;
    std::shared_ptr<const wire::ControlMessage> message;
};

/** Tells the agent which replica leads, and closes the session. */
struct CloseAction {
    SessionId session = 0;
};

/**
 * Asks a quorum, in a round that begins after this action, whether this replica still leads. The answer is reported
 * through Coordinator::confirmed().
 */
struct ConfirmAction {
};

/** An action that the coordinator requests from the control process. */
using Action = std::variant<ProposeAction, SendAction, CloseAction, ConfirmAction>;

} // namespace bergamotweir::control
