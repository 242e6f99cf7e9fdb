#pragma once

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdint>
#include <sstream>

namespace bergamotweir::test {

/**
 * Checks a property with a fixed seed and number of cases, so that the result for a commit is reproducible.
 * @param seed seed of the generator
 * @param runs number of cases
 */
template<typename Testable>
void checkProperty(std::uint64_t seed, int runs, Testable &&property)
{
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    parameters.maxSuccess = runs;
    const rc::detail::TestResult result =
        rc::detail::checkTestable(std::forward<Testable>(property), rc::detail::TestMetadata(), parameters);
    std::ostringstream message;
    rc::detail::printResultMessage(result, message);
    INFO("seed " << seed << ", " << runs << " runs: " << message.str());
    CHECK(result.template is<rc::detail::SuccessResult>());
}

} // namespace bergamotweir::test
