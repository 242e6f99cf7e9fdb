#include "net/CallResult.h"

namespace bergamotweir::net {

const char *toText(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Answered:
        return "answered";
    case CallOutcome::NotSent:
        return "not sent";
    case CallOutcome::ConnectionLost:
        return "broken";
    case CallOutcome::TruncatedAnswer:
        return "short answer";
    case CallOutcome::TooLarge:
        return "too large";
    case CallOutcome::TimedOut:
        return "timed out";
    case CallOutcome::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace bergamotweir::net
