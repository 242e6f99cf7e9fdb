#include "Answer.h"
#include "Change.h"
#include "Commands.h"
#include "cli/Command.h"
#include "cli/Context.h"
#include "cli/Values.h"

#include <algorithm>
#include <ostream>

namespace bergamotweir::cli {

namespace {

struct MarkChange {
    bool isFailureDomain = false;
    std::string name;
    bool inService = false;
};

table::Marks apply(const table::Marks &marks, const MarkChange &change)
{
    table::Marks after = marks;
    std::set<std::string> &out = change.isFailureDomain ? after.failureDomainsOut : after.upstreamsOut;
    if (change.inService) {
        out.erase(change.name);
    } else {
        out.insert(change.name);
    }
    return after;
}

/**
 * Returns a warning if no known upstream matches the name of a mark out of service. Without it a mistyped name would be
 * accepted without effect, and the operator would take the failure domain to be drained.
 */
Findings findUnknownName(const CurrentState &currentState, const MarkChange &change)
{
    const auto isNamed = [&](const table::KnownUpstream &upstream) {
        return (change.isFailureDomain ? upstream.failureDomain : upstream.name) == change.name;
    };
    if (change.inService || std::ranges::any_of(currentState.upstreams, isNamed)) {
        return {};
    }
    return oneFinding(
        "argument 2", "no upstream has announced itself with " + change.name + "; the mark holds for later ones", {});
}

int runMark(bool inService, const Values &values, Context &context)
{
    const MarkChange mark{values.arguments()[0] == "failure-domain", values.arguments()[1], inService};
    const Result<CurrentState> currentState = readCurrentState(values, context);
    if (!currentState) {
        return printFailure(ExitRefused, currentState.error(), values, context);
    }
    const CurrentState &current = currentState.value();
    const Findings warnings =
        table::warnings(current.table, current.marks, current.table, apply(current.marks, mark), current.upstreams);
    if (!warnings.empty() && !values.isOn("even-if-last")) {
        return printFailure(ExitRefused, warnings, values, context);
    }
    const ChangeMetadata change = makeChangeMetadata(values, context);
    wire::OperatorRequest request;
    wire::Mark &message = *request.mutable_mark();
    message.set_change_id(change.changeId);
    message.set_kind(mark.isFailureDomain ? wire::MARK_KIND_FAILURE_DOMAIN : wire::MARK_KIND_UPSTREAM);
    message.set_name(mark.name);
    message.set_in_service(mark.inService);
    message.set_author(change.author);
    message.set_unix_ms(toUnixMillis(change.time));
    Answer answer = submitChange(request, change.changeId, values, context);
    for (const Finding &finding : findUnknownName(current, mark)) {
        answer.findings.push_back(finding);
    }
    return print(answer, values, context);
}

} // namespace

int runMarkIn(const Values &values, Context &context)
{
    return runMark(true, values, context);
}

int runMarkOut(const Values &values, Context &context)
{
    return runMark(false, values, context);
}

} // namespace bergamotweir::cli
