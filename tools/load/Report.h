#pragma once

#include "Generator.h"
#include "LedgerCheck.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace bergamotweir::load {

/**
 * Summarises the outcomes of a load.
 * @param outcomes of the whole load
 * @param settings of the load; requests of its warm-up count only in sent_whole, the unavailable times
 *        and the ledger's figures
 * @param startedAt when the load started
 * @return counts by verdict and kind, latencies in microseconds, longest times without an answer in milliseconds
 */
nlohmann::json summarise(const std::deque<Outcome> &outcomes, const LoadSettings &settings, BootTime startedAt);

/** Adds the result of the ledger check to the report. */
void addLedger(nlohmann::json &report, const LedgerVerdict &verdict);

} // namespace bergamotweir::load
