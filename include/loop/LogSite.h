#pragma once

#include <tuple>

namespace bergamotweir::loop {

/** The call site of a log message. std::source_location isn't used, as the linter's compiler does not have it. */
struct LogSite {
    const char *file = "";
    int line = 0;

    bool operator<(const LogSite &other) const
    {
        return std::tie(this->file, this->line) < std::tie(other.file, other.line);
    }

    /** @return the location of the call; as a default argument, the location of the outer call */
    static constexpr LogSite here(const char *file = __builtin_FILE(), int line = __builtin_LINE())
    {
        return {file, line};
    }
};

} // namespace bergamotweir::loop
