#pragma once

#include "net/HttpAnswer.h"
#include "process/RequestRunner.h"
#include "report/BurnState.h"
#include "report/Metric.h"

#include <optional>
#include <string_view>
#include <vector>

namespace bergamotweir::process {

/**
 * Counts how callers' requests ended and renders the counts for operators: /burn, /burn?json and /metrics.
 * Owned by AgentProcess; used on the loop's thread.
 */
class AgentReport
{
public:
    /** @param state the agent's table and routes; outlives this */
    explicit AgentReport(const AgentState &state);

    /** Takes the objectives of a table that has come into force. */
    void tableChanged();

    /** Counts the end of a caller's request. */
    void ended(const RequestSummary &note);

    /**
     * @param target path and query
     * @param gauges what the rest of the agent adds to /metrics
     * @return the document, or nothing for another target
     */
    std::optional<net::HttpAnswer> answer(std::string_view target, const std::vector<report::Metric> &gauges) const;

private:
    const AgentState &state;
    report::BurnState burn;
};

} // namespace bergamotweir::process
