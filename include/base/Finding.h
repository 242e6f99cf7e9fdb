#pragma once

#include <string>
#include <vector>

namespace bergamotweir {

/** One thing found wrong, with the place where it was found. */
struct Finding {
    /** Flag, environment variable, table row and column, or file and offset. */
    std::string place;
    /** What is wrong there. */
    std::string message;
    /** What to write instead; empty when there is no single answer. */
    std::string remedy;

    bool operator==(const Finding &other) const = default;
};

/** All that one check found; empty means that the input is good. */
using Findings = std::vector<Finding>;

/**
 * Renders findings for people, one line each.
 * @param findings what was found
 * @return "place: message; write remedy" lines, each ended by a newline
 */
std::string toText(const Findings &findings);

} // namespace bergamotweir
