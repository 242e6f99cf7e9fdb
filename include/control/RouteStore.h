#pragma once

#include <control.pb.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace bergamotweir::control {

/**
 * The table of routes in force and every change of it that may still be sent again.
 * Owned by TableHistory; every method is deterministic.
 *
 * Guards against two operators who change the same revision: only the first one wins. Guards as well against a change
 * whose acknowledgement was lost: sent again, at whatever time, it is acknowledged again and not refused as a conflict
 * with itself.
 */
class RouteStore
{
public:
    /** Accepted changes that are remembered: some hundreds a day are usual. */
    static constexpr std::size_t MaxAccepted = 16384;

    /**
     * Puts a new table of routes in force, whole or as a change of named items. Keys of workspaces are kept in the
     * operator's own text alone, and as digests; the first change brings the secret that they are made with.
     * @return done with the revision in table_version, a conflict, or all that is wrong with the table
     */
    wire::OperatorReply put(const wire::PutRoutes &change);

    /** @return the routes in force; revision 0 before the first ones */
    const wire::RouteTable &routes() const;

    /** Adds everything to a snapshot. */
    void save(wire::StateSnapshot &to) const;
    /** Replaces everything by a snapshot's. */
    void restore(const wire::StateSnapshot &from);

private:
    void remember(std::uint64_t contentHash, std::uint64_t revision);

    wire::RouteTable current;
    std::deque<wire::AcceptedRoutes> accepted;
    std::unordered_map<std::uint64_t, std::uint64_t> revisionByHash;
};

} // namespace bergamotweir::control
