#include "raft/Log.h"

#include <cassert>
#include <utility>

namespace bergamotweir::raft {

std::uint64_t Log::lastIndex() const
{
    return this->baseIndex + this->entries.size();
}

std::uint64_t Log::lastTerm() const
{
    return this->entries.empty() ? this->baseTerm : this->entries.back().term();
}

std::uint64_t Log::base() const
{
    return this->baseIndex;
}

std::optional<std::uint64_t> Log::termAt(std::uint64_t index) const
{
    if (index == this->baseIndex) {
        return this->baseTerm;
    }
    if (index < this->baseIndex || index > this->lastIndex()) {
        return std::nullopt;
    }
    return this->at(index).term();
}

const wire::LogEntry &Log::at(std::uint64_t index) const
{
    assert(index > this->baseIndex && index <= this->lastIndex());
    return this->entries[index - this->baseIndex - 1];
}

std::uint64_t Log::firstIndexOfTerm(std::uint64_t index) const
{
    const std::uint64_t term = this->at(index).term();
    while (index > this->baseIndex + 1 && this->at(index - 1).term() == term) {
        --index;
    }
    return index;
}

std::uint64_t Log::indexBefore(std::uint64_t last, std::size_t maxBytes) const
{
    std::uint64_t index = last;
    for (std::size_t bytes = 0; index > this->baseIndex; --index) {
        bytes += this->at(index).payload().size();
        if (bytes > maxBytes) {
            break;
        }
    }
    return index;
}

void Log::append(wire::LogEntry entry)
{
    assert(entry.index() == this->lastIndex() + 1);
    this->entries.push_back(std::move(entry));
}

void Log::truncateFrom(std::uint64_t index)
{
    assert(index > this->baseIndex);
    if (index <= this->lastIndex()) {
        this->entries.resize(index - this->baseIndex - 1);
    }
}

void Log::dropThrough(std::uint64_t index)
{
    assert(index <= this->lastIndex());
    if (index <= this->baseIndex) {
        return;
    }
    this->baseTerm = this->at(index).term();
    this->entries.erase(this->entries.begin(),
                        this->entries.begin() + static_cast<std::ptrdiff_t>(index - this->baseIndex));
    this->baseIndex = index;
}

void Log::reset(std::uint64_t index, std::uint64_t term)
{
    this->entries.clear();
    this->baseIndex = index;
    this->baseTerm = term;
}

} // namespace bergamotweir::raft
