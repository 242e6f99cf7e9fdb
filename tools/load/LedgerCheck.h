#pragma once

#include "Outcome.h"

#include "base/Result.h"

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bergamotweir::load {

/** Result of comparing the upstreams' ledgers with the answers that callers received. */
struct LedgerVerdict {
    /** POST requests that ran more than once. */
    std::uint64_t duplicated = 0;
    /** Acknowledged requests that never ran. */
    std::uint64_t lost = 0;
    /** Requests that ran although their caller received Request-Ran: no. */
    std::uint64_t falseRefusals = 0;
    /** Executions of requests of this load. */
    std::uint64_t executions = 0;
    /** Ids of the first few faulty requests, each with its fault. */
    std::vector<std::string> examples;
};

/** @return the number of executions of each Test-Id over all ledgers, or the ledgers that can't be read */
Result<std::unordered_map<std::string, unsigned>> readLedgers(const std::vector<std::string> &files);

/**
 * Compares the outcomes of a load with the executions in the ledgers.
 * @param testId returns the Test-Id of an outcome's request
 */
LedgerVerdict compare(const std::deque<Outcome> &outcomes,
                      const std::unordered_map<std::string, unsigned> &executions,
                      const std::function<std::string(const Outcome &)> &testId);

} // namespace bergamotweir::load
