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
        // The agent lost the answer to its claim and asks again before it dispatches anything.
        const bool resend = record.request().attempt() == request.attempt();
        return verdict(resend ? wire::CLAIM_VERDICT_GRANTED : wire::CLAIM_VERDICT_IN_PROGRESS);
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
    const Name name(request.service(), request.idempotency_key());
    const auto found = this->claims.find(name);
    if (found != this->claims.end()) {
        return answerFor(found->second, request);
    }
    if (this->claims.size() >= this->maxClaims) {
        return verdict(wire::CLAIM_VERDICT_FULL);
    }
    *this->claims[name].mutable_request() = request;
    this->byTime.emplace(fromUnixMillis(request.unix_ms()), name);
    return verdict(wire::CLAIM_VERDICT_GRANTED);
}

wire::OutcomeReply ClaimStore::record(const wire::ClaimOutcome &outcome)
{
    wire::OutcomeReply reply;
    const Name name(outcome.service(), outcome.idempotency_key());
    const auto found = this->claims.find(name);
    if (found == this->claims.end()) {
        // A resend of a release finds nothing left to release: that is its first answer.
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
        this->erase(name);
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
    while (!this->byTime.empty() && this->byTime.begin()->first < before) {
        const Name name = this->byTime.begin()->second;
        this->erase(name);
    }
}

std::size_t ClaimStore::size() const
{
    return this->claims.size();
}

std::optional<UnixTime> ClaimStore::oldest() const
{
    return this->byTime.empty() ? std::nullopt : std::optional(this->byTime.begin()->first);
}

void ClaimStore::appendTo(std::string &snapshot) const
{
    using google::protobuf::internal::WireFormatLite;
    constexpr auto Tag =
        WireFormatLite::MakeTag(wire::StateSnapshot::kClaimsFieldNumber, WireFormatLite::WIRETYPE_LENGTH_DELIMITED);
    constexpr std::size_t FramePerClaim = 6;
    std::size_t size = snapshot.size();
    for (const auto &[name, record] : this->claims) {
        size += record.ByteSizeLong() + FramePerClaim;
    }
    snapshot.reserve(size);
    google::protobuf::io::StringOutputStream bytes(&snapshot);
    google::protobuf::io::CodedOutputStream out(&bytes);
    for (const auto &[name, record] : this->claims) {
        out.WriteTag(Tag);
        out.WriteVarint32(static_cast<std::uint32_t>(record.GetCachedSize()));
        record.SerializeWithCachedSizes(&out);
    }
}

void ClaimStore::restore(const wire::StateSnapshot &from)
{
    this->claims.clear();
    this->byTime.clear();
    this->answerBytes = 0;
    for (const wire::ClaimRecord &record : from.claims()) {
        const Name name(record.request().service(), record.request().idempotency_key());
        this->claims.emplace(name, record);
        this->byTime.emplace(fromUnixMillis(record.request().unix_ms()), name);
        this->answerBytes += record.outcome().body().size();
    }
}

void ClaimStore::erase(const Name &name)
{
    const auto found = this->claims.find(name);
    this->answerBytes -= found->second.outcome().body().size();
    this->byTime.erase({fromUnixMillis(found->second.request().unix_ms()), name});
    this->claims.erase(found);
}

} // namespace bergamotweir::control
