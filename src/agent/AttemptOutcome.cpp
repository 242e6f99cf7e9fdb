#include "agent/AttemptOutcome.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace bergamotweir::agent {

namespace {

struct NamedOutcome {
    AttemptOutcome outcome;
    std::string_view name;
};

constexpr std::array<NamedOutcome, 14> NamedOutcomes{{{AttemptOutcome::Answered, "answered"},
                                                      {AttemptOutcome::NotOwner, "not-owner"},
                                                      {AttemptOutcome::KeyNotHeld, "disowned"},
                                                      {AttemptOutcome::Overloaded, "no-room"},
                                                      {AttemptOutcome::Slow, "slow"},
                                                      {AttemptOutcome::OverLimit, "over-limit"},
                                                      {AttemptOutcome::RateLimited, "rate-limited"},
                                                      {AttemptOutcome::Quarantined, "quarantined"},
                                                      {AttemptOutcome::NotSent, "not-sent"},
                                                      {AttemptOutcome::ConnectionLost, "broken"},
                                                      {AttemptOutcome::Crashed, "crashed"},
                                                      {AttemptOutcome::TruncatedAnswer, "short-answer"},
                                                      {AttemptOutcome::TooLarge, "too-large"},
                                                      {AttemptOutcome::TimedOut, "timed-out"}}};

} // namespace

std::string_view toText(AttemptOutcome outcome)
{
    const auto *found = std::find_if(NamedOutcomes.begin(), NamedOutcomes.end(), [&](const NamedOutcome &named) {
        return named.outcome == outcome;
    });
    assert(found != NamedOutcomes.end());
    return found->name;
}

std::optional<AttemptOutcome> attemptOutcomeFromText(std::string_view text)
{
    const auto *found = std::find_if(NamedOutcomes.begin(), NamedOutcomes.end(), [&](const NamedOutcome &named) {
        return named.name == text;
    });
    if (found == NamedOutcomes.end()) {
        return std::nullopt;
    }
    return found->outcome;
}

} // namespace bergamotweir::agent
