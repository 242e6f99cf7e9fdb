#pragma once

#include "base/BootClock.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace bergamotweir::agent {

/**
 * Bounds the requests sent to one upstream to the rate that the upstream states in its answers.
 *
 * A token bucket: each request takes a token, and tokens are added at the stated rate. In any span of time the upstream
 * gets at most the stated rate times the span, and the bucket's size.
 * Part of the upstream's gate, which all requests to the upstream pass, so that no agreement between agents is needed.
 */
struct StatedRateLimit {
    /** Time in which the stated rate fills the empty bucket; a bucket holds one token at least. */
    std::chrono::milliseconds burstTime{500};
    /** Requests per second; nullopt while the upstream states no limit. */
    std::optional<double> perSecond;
    /** When the last answer that states a limit arrived. */
    BootTime statedAt;
    /** Number of tokens at refilledAt. */
    double tokens = 0;
    BootTime refilledAt;
};

/** Lowest rate that is applied, in requests per second: only the answer to a request can end a limit. */
inline constexpr double MinStatedRate = 0.5;

/**
 * Records what an answer states. An answer without a limit ends a limit only if its request was sent after the last
 * statement: the answers to requests sent before may have been made before the upstream stated the limit.
 * @param perSecond stated rate; nullopt if the answer states none
 * @param sentAt when the request was sent
 * @return whether the rate in force has changed
 */
bool recordStatement(StatedRateLimit &limit, std::optional<double> perSecond, BootTime sentAt, BootTime now);

/** Removes the limit: the upstream has restarted. */
void clearStatement(StatedRateLimit &limit);

/**
 * @param ahead number of requests that will be sent before it
 * @return when a request may be sent; BootTime() while the upstream states no limit
 */
BootTime nextSendAt(const StatedRateLimit &limit, std::size_t ahead);

/** Records that a request is sent. */
void takeToken(StatedRateLimit &limit, BootTime now);

/** Records that a request that took a token was not sent after all. */
void returnToken(StatedRateLimit &limit, BootTime now);

/**
 * @param waiting number of requests that wait at the gate
 * @return use of the limit for comparison with the load of other gates: 0 unused, 1 no token left, more with a queue
 */
double rateLoad(const StatedRateLimit &limit, std::size_t waiting, BootTime now);

} // namespace bergamotweir::agent
