#pragma once

#include <control.pb.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace bergamotweir::control {

/**
 * The route table in force and the accepted changes that an operator may still send again.
 * Owned by TableHistory; every method is deterministic.
 *
 * Guards against two operators who change the same revision: only the first change is accepted. Also guards against a
 * lost acknowledgement: a change that is sent again, at any later time, is acknowledged again instead of being refused
 * as a conflict with itself.
 */
class RouteStore
{
public:
    /** Maximum number of accepted changes kept; a few hundred changes a day are usual. */
    static constexpr std::size_t MaxAccepted = 16384;

    /**
     * Puts a new route table in force, given as a whole or as a change of named items. Workspace keys are stored only
     * in the operator's own text and as digests; the first change carries the secret key of the digests.
     * @return done with the revision in table_version, a conflict, or bad input with everything wrong with the table
     */
    wire::OperatorReply put(const wire::PutRoutes &change);

    /** @return the routes in force; revision 0 before the first ones */
    const wire::RouteTable &routes() const;

    /** Adds the routes and the accepted changes to a snapshot. */
    void save(wire::StateSnapshot &to) const;
    /** Replaces the routes and the accepted changes with those of a snapshot. */
    void restore(const wire::StateSnapshot &from);

private:
    void recordAccepted(std::uint64_t contentHash, std::uint64_t revision);

    wire::RouteTable current;
    std::deque<wire::AcceptedRoutes> accepted;
    std::unordered_map<std::uint64_t, std::uint64_t> revisionByHash;
};

} // namespace bergamotweir::control
