#include "control/ClaimStore.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/wire_format_lite.h>

namespace bergamotweir::control {

namespace {

wire::ClaimReply verdict(wire::ClaimVerdict value)
{
    wire::ClaimReply reply;
    reply.set_verdict(value);
    return reply;
}

wire::ClaimReply answerFor(const wire::ClaimRecord &record, const wire::ClaimRequest &request)
{
    if (record.request().body_hash() != request.body_hash()) {
        return verdict(wire::CLAIM_VERDICT_CONFLICT);
    }
    if (!record.has_outcome()) {
        // The agent lost the answer to its claim and sends the claim again before it dispatches the request.
        const bool isResend = record.request().attempt() == request.attempt();
        return verdict(isResend ? wire::CLAIM_VERDICT_GRANTED : wire::CLAIM_VERDICT_IN_PROGRESS);
    }
    if (record.outcome().unknown()) {
        return verdict(wire::CLAIM_VERDICT_UNKNOWN);
    }
    wire::ClaimReply reply = verdict(wire::CLAIM_VERDICT_RECORDED);
    *reply.mutable_outcome() = record.outcome();
    return reply;
}

} // namespace

ClaimStore::ClaimStore(std::size_t maxClaims)
    : maxClaims(maxClaims)
{
}

wire::ClaimReply ClaimStore::claim(const wire::ClaimRequest &request)
{
    const ClaimKey key(request.service(), request.idempotency_key());
    const auto found = this->claims.find(key);
    if (found != this->claims.end()) {
        return answerFor(found->second, request);
    }
    if (this->claims.size() >= this->maxClaims) {
        return verdict(wire::CLAIM_VERDICT_FULL);
    }
    *this->claims[key].mutable_request() = request;
    this->claimsByTime.emplace(fromUnixMillis(request.unix_ms()), key);
    return verdict(wire::CLAIM_VERDICT_GRANTED);
}

wire::OutcomeReply ClaimStore::record(const wire::ClaimOutcome &outcome)
{
    wire::OutcomeReply reply;
    const ClaimKey key(outcome.service(), outcome.idempotency_key());
    const auto found = this->claims.find(key);
    if (found == this->claims.end()) {
        // The claim of a resent release no longer exists; the release gets the same answer as the first time.
        reply.set_recorded(outcome.released());
        return reply;
    }
    wire::ClaimRecord &record = found->second;
    if (record.request().attempt() != outcome.attempt()) {
        return reply;
    }
    reply.set_recorded(true);
    if (record.has_outcome()) {
        return reply;
    }
    if (outcome.released()) {
        this->erase(key);
        return reply;
    }
    *record.mutable_outcome() = outcome;
    const std::size_t bytes = outcome.body().size();
    if (bytes > MaxAnswerBytes || this->answerBytes + bytes > MaxTotalBytes) {
        record.mutable_outcome()->clear_body();
        record.mutable_outcome()->set_body_dropped(true);
    }
    this->answerBytes += record.outcome().body().size();
    return reply;
}

void ClaimStore::expire(UnixTime before)
{
    while (!this->claimsByTime.empty() && this->claimsByTime.begin()->first < before) {
        const ClaimKey key = this->claimsByTime.begin()->second;
        this->erase(key);
    }
}

std::size_t ClaimStore::size() const
{
    return this->claims.size();
}

std::optional<UnixTime> ClaimStore::oldest() const
{
    return this->claimsByTime.empty() ? std::nullopt : std::optional(this->claimsByTime.begin()->first);
}

void ClaimStore::appendTo(std::string &snapshot) const
{
    using google::protobuf::internal::WireFormatLite;
    constexpr auto Tag =
        WireFormatLite::MakeTag(wire::StateSnapshot::kClaimsFieldNumber, WireFormatLite::WIRETYPE_LENGTH_DELIMITED);
    constexpr std::size_t MaxFramingBytesPerClaim = 6;
    std::size_t size = snapshot.size();
    for (const auto &[key, record] : this->claims) {
        size += record.ByteSizeLong() + MaxFramingBytesPerClaim;
    }
    snapshot.reserve(size);
    google::protobuf::io::StringOutputStream bytes(&snapshot);
    google::protobuf::io::CodedOutputStream out(&bytes);
    for (const auto &[key, record] : this->claims) {
        out.WriteTag(Tag);
        out.WriteVarint32(static_cast<std::uint32_t>(record.GetCachedSize()));
        record.SerializeWithCachedSizes(&out);
    }
}

void ClaimStore::restore(const wire::StateSnapshot &from)
{
    this->claims.clear();
    this->claimsByTime.clear();
    this->answerBytes = 0;
    for (const wire::ClaimRecord &record : from.claims()) {
        const ClaimKey key(record.request().service(), record.request().idempotency_key());
        this->claims.emplace(key, record);
        this->claimsByTime.emplace(fromUnixMillis(record.request().unix_ms()), key);
        this->answerBytes += record.outcome().body().size();
    }
}

void ClaimStore::erase(const ClaimKey &key)
{
    const auto found = this->claims.find(key);
    this->answerBytes -= found->second.outcome().body().size();
    this->claimsByTime.erase({fromUnixMillis(found->second.request().unix_ms()), key});
    this->claims.erase(found);
}

} // namespace bergamotweir::control
