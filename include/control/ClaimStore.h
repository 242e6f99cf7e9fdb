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
 * The Idempotency-Keys in use: who may run a request, and what came of it.
 * Owned by the replicated state; every method is deterministic. Bounded by count and by the bytes of kept answers.
 *
 * Guards against a payment that runs twice. A caller that lost the answer sends the request again, perhaps through
 * another agent, after a move or under another leader; the claim is in the replicated log before the first dispatch,
 * so that whichever agent comes second finds it there.
 */
class ClaimStore
{
public:
    /** Most claims kept; about 300 bytes each without an answer. */
    static constexpr std::size_t MaxClaims = 200000;
    /** Most bytes of one kept answer; of a larger one only the status is kept. */
    static constexpr std::size_t MaxAnswerBytes = 4096;
    /** Most bytes of all kept answers together. */
    static constexpr std::size_t MaxTotalBytes = std::size_t{64} * 1024 * 1024;

    /** @param maxClaims bound on the number of claims; another than the default serves tests only */
    explicit ClaimStore(std::size_t maxClaims = MaxClaims);

    /** Takes a claim, or tells why not. A resend of the attempt that owns the claim is granted again. */
    wire::ClaimReply claim(const wire::ClaimRequest &request);

    /** Records what came of the attempt that owns the claim; anything else is refused. The first outcome stays. */
    wire::OutcomeReply record(const wire::ClaimOutcome &outcome);

    /** Drops claims taken before a moment. */
    void expire(UnixTime before);

    std::size_t size() const;

    /** @return when the oldest claim was taken, nothing when there is none */
    std::optional<UnixTime> oldest() const;

    /**
     * Appends all claims to a serialised StateSnapshot that has none. They are by far the most of it, and are written
     * straight from where they are: a copy of them first would hold up the leader's loop for longer than a lease.
     */
    void appendTo(std::string &snapshot) const;

    /** Replaces everything by the claims of a snapshot. */
    void restore(const wire::StateSnapshot &from);

private:
    /** Service and Idempotency-Key. */
    using Name = std::pair<std::string, std::string>;

    void erase(const Name &name);

    std::size_t maxClaims;
    std::size_t answerBytes = 0;
    std::map<Name, wire::ClaimRecord> claims;
    std::set<std::pair<UnixTime, Name>> byTime;
};

} // namespace bergamotweir::control
