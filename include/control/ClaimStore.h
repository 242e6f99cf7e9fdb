#pragma once

#include "base/UnixTime.h"
#include "control.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace bergamotweir::control {

/**
 * Records, for each Idempotency-Key in use, which attempt owns the request and the outcome of that attempt.
 * Owned by the replicated state; every method is deterministic. Bounded by the number of claims and by the total size
 * of the stored answers.
 *
 * Guards against a payment that runs twice. A caller that lost the answer sends the request again, possibly through
 * another agent, after a move or under another leader. The claim is committed to the replicated log before the first
 * dispatch, so a second agent always finds it.
 */
class ClaimStore
{
public:
    /** Maximum number of claims; each takes about 300 bytes without an answer. */
    static constexpr std::size_t MaxClaims = 200000;
    /** Maximum size of one stored answer in bytes; of a larger answer only the status is stored. */
    static constexpr std::size_t MaxAnswerBytes = 4096;
    /** Maximum total size of all stored answers in bytes. */
    static constexpr std::size_t MaxTotalBytes = std::size_t{64} * 1024 * 1024;

    /** @param maxClaims maximum number of claims; only tests pass a value other than the default */
    explicit ClaimStore(std::size_t maxClaims = MaxClaims);

    /**
     * Grants the claim to the request's attempt, or returns the verdict that explains why it is not granted.
     * A resend by the attempt that owns the claim is granted again.
     */
    wire::ClaimReply claim(const wire::ClaimRequest &request);

    /**
     * Records the outcome of the attempt that owns the claim; an outcome of any other attempt is refused.
     * A later outcome does not replace the first one.
     */
    wire::OutcomeReply record(const wire::ClaimOutcome &outcome);

    /** Removes the claims that were granted before @p before. */
    void expire(UnixTime before);

    std::size_t size() const;

    /** @return when the oldest claim was granted; nothing when there are no claims */
    std::optional<UnixTime> oldest() const;

    /**
     * Appends all claims to a serialised StateSnapshot that contains none. Claims are by far the largest part of a
     * snapshot, so they are serialised in place: copying them first would block the leader's loop for longer than a
     * lease.
     */
    void appendTo(std::string &snapshot) const;

    /** Replaces all claims with those of a snapshot. */
    void restore(const wire::StateSnapshot &from);

private:
    /** Service and Idempotency-Key. */
    using ClaimKey = std::pair<std::string, std::string>;

    void erase(const ClaimKey &key);

    std::size_t maxClaims;
    std::size_t answerBytes = 0;
    std::map<ClaimKey, wire::ClaimRecord> claims;
    std::set<std::pair<UnixTime, ClaimKey>> claimsByTime;
};

} // namespace bergamotweir::control
