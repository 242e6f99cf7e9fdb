#pragma once

#include "Outcome.h"

#include "base/Result.h"

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bergamotweir::load {

/** What the upstreams' ledgers say against what callers were told. */
struct LedgerVerdict {
    /** POST requests that ran more than once. */
    std::uint64_t doubled = 0;
    /** Acknowledged requests that never ran. */
    std::uint64_t lost = 0;
    /** Requests that ran although their caller was told Request-Ran: no. */
    std::uint64_t untrueNo = 0;
    /** Executions of requests of this load. */
    std::uint64_t executions = 0;
    /** Ids of the first few faulty ones, with what is wrong. */
    std::vector<std::string> examples;
};

/** @return how often each Test-Id ran, over all ledgers, or which ledger can't be read */
Result<std::unordered_map<std::string, unsigned>> readLedgers(const std::vector<std::string> &files);

/**
 * Compares outcomes with executions.
 * @param testId tells the id that an outcome's request carried
 */
LedgerVerdict compare(const std::deque<Outcome> &outcomes,
                      const std::unordered_map<std::string, unsigned> &executions,
                      const std::function<std::string(const Outcome &)> &testId);

} // namespace bergamotweir::load
