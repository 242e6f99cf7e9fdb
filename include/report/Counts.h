#pragma once

#include <cstdint>

namespace bergamotweir::report {

/** Numbers of requests of callers, by outcome. */
struct Counts {
    /** All requests that count towards the objectives. */
    std::uint64_t total = 0;
    /** Refused by the system: no owner, overloaded, over a limit, quarantined. */
    std::uint64_t refused = 0;
    /** Failed: the upstream failed, or the deadline passed. */
    std::uint64_t failed = 0;
    /** Answered, but later than the latency objective allows. */
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
