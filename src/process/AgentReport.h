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
 * Counts the outcomes of callers' requests and renders them for operators: /burn, /burn?json and /metrics.
 * Owned by AgentProcess; used on the loop's thread.
 */
class AgentReport
{
public:
    /** @param state the agent's table and routes; outlives this */
    explicit AgentReport(const AgentState &state);

    /** Applies the objectives of the table in force. */
    void tableChanged();

    /** Counts the end of a caller's request. */
    void recordCompleted(const RequestSummary &summary);

    /**
     * @param target path and query
     * @param gauges metrics of the rest of the agent, appended to /metrics
     * @return the document, or nullopt for an unknown target
     */
    std::optional<net::HttpAnswer> answer(std::string_view target, const std::vector<report::Metric> &gauges) const;

private:
    const AgentState &state;
    report::BurnState burn;
};

} // namespace bergamotweir::process
