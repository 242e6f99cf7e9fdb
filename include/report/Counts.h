#pragma once

#include <cstdint>

namespace bergamotweir::report {

/** Requests of callers by how they ended. */
struct Counts {
    /** All that count towards the objectives. */
    std::uint64_t total = 0;
    /** The system refused it: no owner, no room, over a limit, quarantined. */
    std::uint64_t refused = 0;
    /** It failed: upstream failed, deadline passed. */
    std::uint64_t failed = 0;
    /** Answered, but later than the latency objective. */
    std::uint64_t late = 0;

    bool operator==(const Counts &other) const = default;

    Counts &operator+=(const Counts &other)
    {
        this->total += other.total;
        this->refused += other.refused;
        this->failed += other.failed;
        this->late += other.late;
        return *this;
    }
};

} // namespace bergamotweir::report
