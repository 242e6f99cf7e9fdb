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
 * Sends an agent's calls about claims to the leader of the control group.
 * Both calls are idempotent (the same attempt gets the same answer), so an unanswered call is retried until its
 * timeout. Owned by the agent process; used on the loop's thread.
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
     * @param request the claim
     * @param timeout time after which the verdict is CLAIM_VERDICT_UNAVAILABLE, although the claim may have been
     * recorded
     * @param done called once, on the loop's thread
     */
    void claim(const wire::ClaimRequest &request,
               std::chrono::milliseconds timeout,
               std::function<void(wire::ClaimReply)> done);

    /**
     * Records the outcome of a claim or releases it.
     * @param outcome the outcome of the attempt
     * @param timeout time after which the reply says that the outcome was not recorded
     * @param done called once, on the loop's thread
     */
    void recordOutcome(const wire::ClaimOutcome &outcome,
                       std::chrono::milliseconds timeout,
                       std::function<void(wire::OutcomeReply)> done);

private:
    struct Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace bergamotweir::rpc
