#pragma once

#include "base/Finding.h"

#include <boost/outcome.hpp>

namespace bergamotweir {

/**
 * A value, or the findings that prevented it.
 * Used wherever a caller can act on the failure; violated invariants are assertions.
 */
template<typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::result<T, Findings, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/**
 * Makes the error of a Result from a single finding.
 * @param place where it was found
 * @param message what is wrong
 * @param remedy what to write instead, may be empty
 * @return a one-element list
 */
inline Findings oneFinding(std::string place, std::string message, std::string remedy = {})
{
    return {Finding{std::move(place), std::move(message), std::move(remedy)}};
}

} // namespace bergamotweir
