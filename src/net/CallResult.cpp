#include "net/CallResult.h"

namespace bergamotweir::net {

const char *toText(CallEnd end)
{
    switch (end) {
    case CallEnd::Answered:
        return "answered";
    case CallEnd::NotSent:
        return "not sent";
    case CallEnd::Broken:
        return "broken";
    case CallEnd::ShortAnswer:
        return "short answer";
    case CallEnd::TooLarge:
        return "too large";
    case CallEnd::TimedOut:
        return "timed out";
    case CallEnd::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace bergamotweir::net
