#pragma once

#include "control.pb.h"

#include <cstdint>
#include <memory>
#include <variant>

namespace bergamotweir::control {

/** Names a session with an agent; never 0, never used twice by one process. */
using SessionId = std::uint64_t;

/** Put a command into the replicated log; the outcome comes back as Coordinator::proposed(). */
struct ProposeAction {
    std::uint64_t proposal = 0;
    wire::Command command;
};

/** Send a message on a session; messages keep their order. One message may go to many sessions. */
struct SendAction {
    SessionId session = 0;
    std::shared_ptr<const wire::ControlMessage> message;
};

/** Tell the agent who leads, and end the session. */
struct CloseAction {
    SessionId session = 0;
};

/** Ask a quorum, in a round begun after this, whether this replica leads; comes back as Coordinator::confirmed(). */
struct ConfirmAction {
};

/** What the coordinator wants done. */
using Action = std::variant<ProposeAction, SendAction, CloseAction, ConfirmAction>;

} // namespace bergamotweir::control
