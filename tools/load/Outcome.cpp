#include "Outcome.h"

namespace bergamotweir::load {

const char *toText(Verdict verdict)
{
    switch (verdict) {
    case Verdict::Pending:
        return "pending";
    case Verdict::Answered:
        return "answered";
    case Verdict::RefusedNo:
        return "refused_no";
    case Verdict::RefusedUnknown:
        return "refused_unknown";
    case Verdict::RefusedYes:
        return "refused_yes";
    case Verdict::Error:
        return "error";
    case Verdict::TimedOut:
        return "timed_out";
    case Verdict::NotSent:
        return "not_sent";
    case Verdict::IncompleteAnswer:
        return "broken";
    case Verdict::Wrong:
        return "wrong";
    }
    return "";
}

const char *toText(Kind kind)
{
    switch (kind) {
    case Kind::UnkeyedGet:
        return "unkeyed_get";
    case Kind::KeyedGet:
        return "keyed_get";
    case Kind::KeyedPost:
        return "keyed_post";
    }
    return "";
}

} // namespace bergamotweir::load
