#pragma once

#include "raft.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace bergamotweir::raft {

/** The entries that a replica holds in memory, behind a base that a snapshot covers. Owned by its RaftCore. */
class Log
{
public:
    /** @return index of the newest entry, the base when there is none */
    std::uint64_t lastIndex() const;
    std::uint64_t lastTerm() const;

    /** @return index of the newest entry no longer held */
    std::uint64_t base() const;

    /** @return the term of the entry at an index; none when it isn't held and isn't the base */
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;

    /** @param index base() < index <= lastIndex() */
    const wire::LogEntry &at(std::uint64_t index) const;

    /** @return the first index that has the same term as the one at @p index, above the base */
    std::uint64_t firstOfTerm(std::uint64_t index) const;

    /** @param entry its index follows lastIndex() */
    void append(wire::LogEntry entry);

    /** Drops the entry at @p index and all behind it. */
    void truncateFrom(std::uint64_t index);

    /** Drops entries up to and including @p index, which is held or is the base. */
    void dropThrough(std::uint64_t index);

    /** Drops everything; the base becomes the place given. */
    void reset(std::uint64_t index, std::uint64_t term);

private:
    std::uint64_t baseIndex = 0;
    std::uint64_t baseTerm = 0;
    std::deque<wire::LogEntry> entries;
};

} // namespace bergamotweir::raft
