#pragma once

#include <string>
#include <vector>

namespace bergamotweir {

/** One error found in an input, with its place. */
struct Finding {
    /** Flag, environment variable, table row and column, or file and offset. */
    std::string place;
    /** What is wrong at that place. */
    std::string message;
    /** What to write instead; empty when there is no single answer. */
    std::string remedy;

    bool operator==(const Finding &other) const = default;
};

/** All findings of one check; empty when the input is valid. */
using Findings = std::vector<Finding>;

/**
 * Renders findings for people, one line each.
 * @return "place: message; write remedy" lines, each ended by a newline
 */
std::string toText(const Findings &findings);

} // namespace bergamotweir
