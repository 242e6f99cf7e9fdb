#pragma once

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdint>
#include <sstream>

namespace bergamotweir::test {

/**
 * Checks a property with a fixed seed and count, so that the same commit always gets the same verdict.
 * @param seed of the generator
 * @param runs how many cases are tried
 */
template<typename Testable>
void checkProperty(std::uint64_t seed, int runs, Testable &&property)
{
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    parameters.maxSuccess = runs;
    const rc::detail::TestResult result =
        rc::detail::checkTestable(std::forward<Testable>(property), rc::detail::TestMetadata(), parameters);
    std::ostringstream told;
    rc::detail::printResultMessage(result, told);
    INFO("seed " << seed << ", " << runs << " runs: " << told.str());
    CHECK(result.template is<rc::detail::SuccessResult>());
}

} // namespace bergamotweir::test
