#pragma once

#include "agent/Gate.h"
#include "base/BootClock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace bergamotweir::agent {

/** Names a body at a queue; the queue's owner chooses it. */
using BodyId = std::uint64_t;

/** A large request body that its sender has announced and not sent. */
struct AnnouncedBody {
    BodyId id = 0;
    std::size_t bytes = 0;
    /** Received whole later, it is of no use: the work on it would end too late. */
    BootTime receiveDeadline = BootTime::max();
};

/** A body on the link. */
struct ReceivedBody {
    std::size_t bytes = 0;
    BootTime begunAt;
};

/** Decisions on the bodies that waited. */
struct BodyDecisions {
    std::vector<BodyId> admitted;
    /** They can't be received in time; surely not run. */
    std::vector<BodyId> refused;
};

/**
 * Which large bodies may cross the link to this VM, and in which order.
 *
 * The load that it answers: more bytes of request bodies come than the link can carry. Sent at will, all bodies are
 * late, and everything else that comes over the link waits behind them: calls of running work, heartbeats, changes of
 * the table. With a few bodies on the link at a time it carries as much and its queue stays short; a body that would be
 * late is refused before its first byte is sent.
 * Owned by the agent process; the rate is learnt from the bodies themselves.
 */
struct BodyQueue {
    /** Bodies on the link. */
    std::map<BodyId, ReceivedBody> receiving;
    /** In the order of their arrival. */
    std::deque<AnnouncedBody> waiting;
    /** Smoothed size of a body, and time between the ends of two while the link is busy; 0 when not known. */
    double meanBytes = 0;
    std::chrono::nanoseconds meanInterval{0};
    /** When the latest body ended, or the first one of a busy time began. */
    BootTime lastEndAt;
};

/** Bodies on the link at a time: one alone leaves it idle for the round trip between two. */
constexpr std::size_t MaxBodiesReceiving = 2;

/** A body that takes longer has a sender that stalled, and doesn't count as being on the link. */
constexpr std::chrono::milliseconds MaxTransferTime{2000};

/** A body is announced. @return Admitted: it may come now; Queued: finish() tells; Overloaded: it would be late */
Admission requestAdmission(BodyQueue &queue, const AnnouncedBody &body, BootTime now);

/**
 * A body was received whole, or its sender is gone, while on the link or waiting.
 * @param whole whether it was received whole, which the rate is learnt from
 * @return what becomes of those that waited
 */
BodyDecisions finish(BodyQueue &queue, BodyId id, bool whole, BootTime now);

/** Looks again whether waiting bodies may come; to be called now and then while any waits. */
BodyDecisions processQueue(BodyQueue &queue, BootTime now);

/** @return the time that the link needs for so many bytes; 0 when its rate isn't known */
std::chrono::nanoseconds transferTime(const BodyQueue &queue, std::size_t bytes);

} // namespace bergamotweir::agent
