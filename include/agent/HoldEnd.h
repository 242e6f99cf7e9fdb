#pragma once

#include "agent/ProcessIdentity.h"

#include <optional>
#include <string_view>

namespace bergamotweir::agent {

/** Evidence that an upstream's process has ended, so that its hold of keys ends before its time. */
enum class HoldEnd {
    /** No process listens at the upstream's address. */
    ConnectionRefused,
    /** The upstream has started again: a heartbeat of the same instance states a later start. */
    LaterLife,
    /** Another instance, which started later, answers at the upstream's address. */
    Successor,
    /** The upstream has announced a new incarnation. */
    NewIncarnation
};

/** @return the reason's name, for logs */
const char *toText(HoldEnd reason);

/** How a connection for a health check to an upstream ended. */
enum class ProbeEnd {
    Answered,
    /** The upstream's VM refused the connection. */
    Refused,
    /** The connection was reset before the request was sent, or could not be opened by this process. */
    NotSent,
    /** The request may have been sent, and there was no answer. */
    Unanswered
};

/**
 * @param isLate whether the result took longer than a health check may take, for instance since this VM was suspended
 * @return what a health check proves; nullopt if the hold lasts until its own time
 */
std::optional<HoldEnd> holdEndShownByProbe(ProbeEnd end, bool isLate);

/**
 * @param sender relation of a heartbeat's sender to the upstream
 * @param senderInstance instance that the heartbeat names
 * @param answeringInstance instance that answers at the upstream's address; empty if none is known
 * @return what the heartbeat proves; nullopt if the hold lasts until its own time
 */
std::optional<HoldEnd>
holdEndShownByHeartbeat(HeartbeatSender sender, std::string_view senderInstance, std::string_view answeringInstance);

} // namespace bergamotweir::agent
