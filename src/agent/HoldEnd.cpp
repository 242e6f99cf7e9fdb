#include "agent/HoldEnd.h"

namespace bergamotweir::agent {

const char *toText(HoldEnd reason)
{
    switch (reason) {
    case HoldEnd::ConnectionRefused:
        return "connection-refused";
    case HoldEnd::LaterLife:
        return "later-life";
    case HoldEnd::Successor:
        return "successor";
    case HoldEnd::NewIncarnation:
        break;
    }
    return "new-incarnation";
}

std::optional<HoldEnd> holdEndShownByProbe(ProbeEnd end, bool isLate)
{
    return end == ProbeEnd::Refused && !isLate ? std::optional(HoldEnd::ConnectionRefused) : std::nullopt;
}

std::optional<HoldEnd>
holdEndShownByHeartbeat(HeartbeatSender sender, std::string_view senderInstance, std::string_view answeringInstance)
{
    if (sender == HeartbeatSender::LaterLife) {
        return HoldEnd::LaterLife;
    }
    const bool answers = !answeringInstance.empty() && answeringInstance == senderInstance;
    return sender == HeartbeatSender::Successor && answers ? std::optional(HoldEnd::Successor) : std::nullopt;
}

} // namespace bergamotweir::agent
