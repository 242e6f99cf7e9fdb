#pragma once

#include "Generator.h"
#include "LedgerCheck.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace bergamotweir::load {

/**
 * Sums a load up.
 * @param outcomes of the whole load
 * @param settings of the load; its warm-up is left out of all but the ledger's figures
 * @param begun when the load began
 * @return counts by verdict and kind, latencies in microseconds, longest times without an answer in milliseconds
 */
nlohmann::json summarise(const std::deque<Outcome> &outcomes, const LoadSettings &settings, BootTime begun);

/** Adds what the ledgers say. */
void addLedger(nlohmann::json &report, const LedgerVerdict &verdict);

} // namespace bergamotweir::load
