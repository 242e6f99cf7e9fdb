#pragma once

#include <tuple>

namespace bergamotweir::loop {

/** The line of the program that writes a message. std::source_location is missing from the linter's compiler. */
struct LogSite {
    const char *file = "";
    int line = 0;

    bool operator<(const LogSite &other) const
    {
        return std::tie(this->file, this->line) < std::tie(other.file, other.line);
    }

    /** @return the place of the call; as a default argument, the place of the outer call */
    static constexpr LogSite here(const char *file = __builtin_FILE(), int line = __builtin_LINE())
    {
        return {file, line};
    }
};

} // namespace bergamotweir::loop
