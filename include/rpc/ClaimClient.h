#pragma once

#include "control.pb.h"
#include "loop/EventLoop.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bergamotweir::rpc {

/**
 * An agent's calls about claims, to whichever control replica leads.
 * Both calls are idempotent (same attempt, same answer), so a lost answer is asked for again until the timeout.
 * Owned by the agent process; used on the loop's thread.
 */
class ClaimClient
{
public:
    /**
     * @param loop outlives the client
     * @param addresses IP:port of the control replicas, at least one
     */
    ClaimClient(loop::EventLoop &loop, std::vector<std::string> addresses);
    ~ClaimClient();
    ClaimClient(const ClaimClient &) = delete;
    ClaimClient &operator=(const ClaimClient &) = delete;

    /**
     * Claims an Idempotency-Key for one attempt.
     * @param request what to claim
     * @param timeout after which the verdict is CLAIM_VERDICT_UNAVAILABLE; the claim may exist all the same
     * @param done called once, on the loop's thread
     */
    void claim(const wire::ClaimRequest &request,
               std::chrono::milliseconds timeout,
               std::function<void(wire::ClaimReply)> done);

    /**
     * Records or gives back a claim.
     * @param outcome what became of the attempt
     * @param timeout after which the reply says not recorded
     * @param done called once, on the loop's thread
     */
    void recordOutcome(const wire::ClaimOutcome &outcome,
                       std::chrono::milliseconds timeout,
                       std::function<void(wire::OutcomeReply)> done);

private:
    struct Parts;
    std::shared_ptr<Parts> parts;
};

} // namespace bergamotweir::rpc
