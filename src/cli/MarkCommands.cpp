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

/** A mistyped name would be accepted and change nothing; the operator would believe the failure domain to be empty. */
Findings unknownName(const Situation &situation, const MarkChange &change)
{
    const auto isNamed = [&](const table::KnownUpstream &upstream) {
        return (change.isFailureDomain ? upstream.failureDomain : upstream.name) == change.name;
    };
    if (change.inService || std::ranges::any_of(situation.upstreams, isNamed)) {
        return {};
    }
    return oneFinding(
        "argument 2", "no upstream has announced itself with " + change.name + "; the mark holds for later ones", {});
}

int runMark(bool inService, const Values &values, Context &context)
{
    const MarkChange mark{values.arguments()[0] == "failure-domain", values.arguments()[1], inService};
    const Result<Situation> situation = readSituation(values, context);
    if (!situation) {
        return printFailure(ExitRefused, situation.error(), values, context);
    }
    const Situation &now = situation.value();
    const Findings warnings = table::warnings(now.table, now.marks, now.table, apply(now.marks, mark), now.upstreams);
    if (!warnings.empty() && !values.isOn("even-if-last")) {
        return printFailure(ExitRefused, warnings, values, context);
    }
    const ChangeStamp change = stamp(values, context);
    wire::OperatorRequest request;
    wire::Mark &message = *request.mutable_mark();
    message.set_change_id(change.changeId);
    message.set_kind(mark.isFailureDomain ? wire::MARK_KIND_FAILURE_DOMAIN : wire::MARK_KIND_UPSTREAM);
    message.set_name(mark.name);
    message.set_in_service(mark.inService);
    message.set_author(change.author);
    message.set_unix_ms(toUnixMillis(change.time));
    Answer answer = makeChange(request, change.changeId, values, context);
    for (const Finding &finding : unknownName(now, mark)) {
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
