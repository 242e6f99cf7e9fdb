#pragma once

#include "agent/Gate.h"
#include "base/BootClock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace bergamotweir::agent {

/** Identifies a body in a queue; chosen by the queue's owner. */
using BodyId = std::uint64_t;

/** A large request body that its sender has announced and not yet sent. */
struct AnnouncedBody {
    BodyId id = 0;
    std::size_t bytes = 0;
    /** A body received completely after this point is useless, as the work on it would end too late. */
    BootTime receiveDeadline = BootTime::max();
};

/** A body that is being received. */
struct ReceivedBody {
    std::size_t bytes = 0;
    BootTime begunAt;
};

/** Decisions on waiting bodies. */
struct BodyDecisions {
    std::vector<BodyId> admitted;
    /** Can't be received in time; their requests have definitely not run. */
    std::vector<BodyId> refused;
};

/**
 * Admission control for large request bodies on the link to this VM.
 *
 * Guards against more bytes of request bodies than the link can carry. Without a bound all bodies would be late, and
 * all other traffic on the link would queue behind them: calls made by running requests, heartbeats and table changes.
 * With a few bodies in transfer at a time the throughput of the link is the same and its queue stays short. A body that
 * would be late is refused before its first byte is sent.
 * Owned by the agent process. The rate of the link is measured from the transferred bodies.
 */
struct BodyQueue {
    /** Bodies being received. */
    std::map<BodyId, ReceivedBody> receiving;
    /** Announced bodies in order of arrival. */
    std::deque<AnnouncedBody> waiting;
    /** Smoothed size of a body, and smoothed time between two completions while the link is busy; 0 when unknown. */
    double meanBytes = 0;
    std::chrono::nanoseconds meanInterval{0};
    /** When the latest body was complete, or when the first body of a busy period began. */
    BootTime lastEndAt;
};

/** Bodies received at the same time. With only one, the link would be idle for a round trip between two bodies. */
constexpr std::size_t MaxBodiesReceiving = 2;

/** A transfer that takes longer is treated as stalled and no longer counted as being received. */
constexpr std::chrono::milliseconds MaxTransferTime{2000};

/**
 * Decides about an announced body.
 * @return Admitted: it may be sent now; Queued: a later call of finish() or processQueue() decides; Overloaded: it
 * would be late
 */
Admission requestAdmission(BodyQueue &queue, const AnnouncedBody &body, BootTime now);

/**
 * Removes a body that was received completely, or whose sender disconnected while it was being received or waiting.
 * @param whole whether it was received completely; only then it is a sample of the link's rate
 * @return decisions on the waiting bodies
 */
BodyDecisions finish(BodyQueue &queue, BodyId id, bool whole, BootTime now);

/** Decides about waiting bodies again; must be called periodically while any body waits. */
BodyDecisions processQueue(BodyQueue &queue, BootTime now);

/** @return the time that the link needs for @p bytes; 0 when its rate isn't known */
std::chrono::nanoseconds transferTime(const BodyQueue &queue, std::size_t bytes);

} // namespace bergamotweir::agent
