#include "agent/ProcessIdentity.h"

namespace bergamotweir::agent {

HeartbeatSender classifySender(const ProcessIdentity &known, const ProcessIdentity &sender)
{
    const bool isSameInstance = known.instance == sender.instance;
    if (known.address != sender.address) {
        const bool isSameProcess = isSameInstance && known.startedAt == sender.startedAt;
        return isSameProcess ? HeartbeatSender::Contradictory : HeartbeatSender::Unrelated;
    }
    if (sender.startedAt < known.startedAt) {
        return HeartbeatSender::Earlier;
    }
    if (known.startedAt < sender.startedAt) {
        return isSameInstance ? HeartbeatSender::LaterLife : HeartbeatSender::Successor;
    }
    // Two processes can't have started at one address at the same time.
    return isSameInstance && known.service == sender.service ? HeartbeatSender::Same : HeartbeatSender::Contradictory;
}

} // namespace bergamotweir::agent
