#include "agent/BodyQueue.h"

#include <algorithm>

namespace bergamotweir::agent {

namespace {

using std::chrono::nanoseconds;

/** Weight of a new sample in the smoothed rate: one in eight. */
constexpr double SampleWeight = 0.125;

std::size_t bytesOnLink(const BodyQueue &queue)
{
    std::size_t bytes = 0;
    for (const auto &[id, body] : queue.receiving) {
        bytes += body.bytes;
    }
    return bytes;
}

std::size_t bytesWaiting(const BodyQueue &queue)
{
    std::size_t bytes = 0;
    for (const AnnouncedBody &body : queue.waiting) {
        bytes += body.bytes;
    }
    return bytes;
}

void updateRate(BodyQueue &queue, std::size_t bytes, nanoseconds interval)
{
    const bool first = queue.meanInterval.count() == 0;
    const double weight = first ? 1 : SampleWeight;
    queue.meanBytes += weight * (static_cast<double>(bytes) - queue.meanBytes);
    const double change = weight * static_cast<double>((interval - queue.meanInterval).count());
    queue.meanInterval += nanoseconds(static_cast<nanoseconds::rep>(change));
}

void begin(BodyQueue &queue, const AnnouncedBody &body, BootTime now)
{
    if (queue.receiving.empty()) {
        queue.lastEndAt = now;
    }
    queue.receiving.emplace(body.id, ReceivedBody{body.bytes, now});
}

bool isLate(const BodyQueue &queue, const AnnouncedBody &body, std::size_t ahead, BootTime now)
{
    return now + transferTime(queue, ahead + body.bytes) > body.receiveDeadline;
}

void removeStalled(BodyQueue &queue, BootTime now)
{
    std::erase_if(queue.receiving, [now](const auto &entry) {
        return now - entry.second.begunAt > MaxTransferTime;
    });
}

} // namespace

std::chrono::nanoseconds transferTime(const BodyQueue &queue, std::size_t bytes)
{
    if (queue.meanBytes <= 0) {
        return nanoseconds(0);
    }
    const double perByte = static_cast<double>(queue.meanInterval.count()) / queue.meanBytes;
    return nanoseconds(static_cast<nanoseconds::rep>(perByte * static_cast<double>(bytes)));
}

Admission requestAdmission(BodyQueue &queue, const AnnouncedBody &body, BootTime now)
{
    removeStalled(queue, now);
    // An idle link admits a body at any measured rate, since a wrong rate is only corrected by further transfers.
    if (queue.receiving.empty()) {
        begin(queue, body, now);
        return Admission::Admitted;
    }
    if (isLate(queue, body, bytesOnLink(queue) + bytesWaiting(queue), now)) {
        return Admission::Overloaded;
    }
    if (queue.receiving.size() < MaxBodiesReceiving) {
        begin(queue, body, now);
        return Admission::Admitted;
    }
    queue.waiting.push_back(body);
    return Admission::Queued;
}

BodyDecisions finish(BodyQueue &queue, BodyId id, bool whole, BootTime now)
{
    const auto found = queue.receiving.find(id);
    if (found == queue.receiving.end()) {
        std::erase_if(queue.waiting, [id](const AnnouncedBody &body) {
            return body.id == id;
        });
        return {};
    }
    if (whole) {
        updateRate(queue, found->second.bytes, now - queue.lastEndAt);
        queue.lastEndAt = now;
    }
    queue.receiving.erase(found);
    return processQueue(queue, now);
}

BodyDecisions processQueue(BodyQueue &queue, BootTime now)
{
    BodyDecisions decisions;
    removeStalled(queue, now);
    while (!queue.waiting.empty() && queue.receiving.size() < MaxBodiesReceiving) {
        const AnnouncedBody next = queue.waiting.front();
        queue.waiting.pop_front();
        // Bodies in transfer share the link's rate, so this one takes as long as if it waited for the others.
        const bool late =
            queue.receiving.empty() ? now >= next.receiveDeadline : isLate(queue, next, bytesOnLink(queue), now);
        if (late) {
            decisions.refused.push_back(next.id);
            continue;
        }
        begin(queue, next, now);
        decisions.admitted.push_back(next.id);
    }
    return decisions;
}

} // namespace bergamotweir::agent
