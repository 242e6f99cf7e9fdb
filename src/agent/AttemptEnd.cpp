#include "agent/AttemptEnd.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace bergamotweir::agent {

namespace {

struct NamedEnd {
    AttemptEnd end;
    std::string_view name;
};

constexpr std::array<NamedEnd, 12> NamedEnds{{{AttemptEnd::Answered, "answered"},
                                              {AttemptEnd::NotOwner, "not-owner"},
                                              {AttemptEnd::Disowned, "disowned"},
                                              {AttemptEnd::NoRoom, "no-room"},
                                              {AttemptEnd::OverLimit, "over-limit"},
                                              {AttemptEnd::Quarantined, "quarantined"},
                                              {AttemptEnd::NotSent, "not-sent"},
                                              {AttemptEnd::Broken, "broken"},
                                              {AttemptEnd::Crashed, "crashed"},
                                              {AttemptEnd::ShortAnswer, "short-answer"},
                                              {AttemptEnd::TooLarge, "too-large"},
                                              {AttemptEnd::TimedOut, "timed-out"}}};

} // namespace

std::string_view toText(AttemptEnd end)
{
    const auto *found = std::find_if(NamedEnds.begin(), NamedEnds.end(), [&](const NamedEnd &named) {
        return named.end == end;
    });
    assert(found != NamedEnds.end());
    return found->name;
}

std::optional<AttemptEnd> attemptEndFromText(std::string_view text)
{
    const auto *found = std::find_if(NamedEnds.begin(), NamedEnds.end(), [&](const NamedEnd &named) {
        return named.name == text;
    });
    if (found == NamedEnds.end()) {
        return std::nullopt;
    }
    return found->end;
}

} // namespace bergamotweir::agent
