#pragma once

#include "raft.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace bergamotweir::raft {

/** The log entries that a replica holds in memory. A snapshot covers everything up to the base. Owned by RaftCore. */
class Log
{
public:
    /** @return the index of the last entry, or the base if there is none */
    std::uint64_t lastIndex() const;
    std::uint64_t lastTerm() const;

    /** @return the index of the last entry that is no longer in memory */
    std::uint64_t base() const;

    /** @return the term of the entry at an index; none if the index is neither in memory nor the base */
    std::optional<std::uint64_t> termAt(std::uint64_t index) const;

    /** @param index base() < index <= lastIndex() */
    const wire::LogEntry &at(std::uint64_t index) const;

    /** @return the first index above the base in the run of entries that have the term of the entry at @p index */
    std::uint64_t firstIndexOfTerm(std::uint64_t index) const;

    /** @return the smallest index such that the entries after it, up to @p last, have at most @p maxBytes of payload */
    std::uint64_t indexBefore(std::uint64_t last, std::size_t maxBytes) const;

    /** @param entry its index must be lastIndex() + 1 */
    void append(wire::LogEntry entry);

    /** Removes the entry at @p index and all later entries. */
    void truncateFrom(std::uint64_t index);

    /** Removes the entries up to and including @p index, which must be at most lastIndex(). */
    void dropThrough(std::uint64_t index);

    /** Removes every entry and sets the base to the given index and term. */
    void reset(std::uint64_t index, std::uint64_t term);

private:
    std::uint64_t baseIndex = 0;
    std::uint64_t baseTerm = 0;
    std::deque<wire::LogEntry> entries;
};

} // namespace bergamotweir::raft
