#pragma once

#include "control.pb.h"
#include "control/RouteStore.h"
#include "table/ChangeWarnings.h"
#include "table/Table.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace bergamotweir::control {

/**
 * The shared table, the marks beside it, and every change of them that may still be resent.
 * Owned by the replicated state; every method is deterministic.
 *
 * Guards against two operators who edit the same version: the second one would silently undo the first. Each change
 * names the version it was made from, and any other than the newest is a conflict. Guards as well against a resend
 * after a lost answer, which would fail as a conflict with itself: a known change id gets its first answer again.
 */
class TableHistory
{
public:
    /** Tables kept in full, for reading back and for naming what a conflicting change differs in. */
    static constexpr std::size_t MaxTables = 32;
    /** Bytes of the tables kept in full; the newest one is kept whatever its size. */
    static constexpr std::size_t MaxStoredTableBytes = std::size_t{8} * 1024 * 1024;
    /** Changes whose ids are kept; at 12,000 changes a day more than eight hours. */
    static constexpr std::size_t MaxChanges = 4096;
    /** Differing rows that a conflict names. */
    static constexpr std::size_t MaxNamedRows = 20;

    /**
     * Puts a new table in force.
     * @return done with the version, a conflict naming the differing rows and who won, or what is wrong with the table
     */
    wire::OperatorReply put(const wire::Version &version, const wire::PutTable &change);

    /** Puts new routes in force. @return as RouteStore::put(), with the version */
    wire::OperatorReply putRoutes(const wire::Version &version, const wire::PutRoutes &change);

    /** Marks a failure domain or an upstream in or out of service. */
    wire::OperatorReply mark(const wire::Version &version, const wire::Mark &change);

    /** @return the table in force */
    const table::Table &table() const;
    /** @return the routes in force, as the operator wrote them */
    const wire::RouteTable &routes() const;
    /** @return its number; 0 before the first table */
    std::uint64_t tableVersion() const;
    /** @return what is marked out */
    const table::Marks &marks() const;
    /** @return a kept table, or nullptr; 0 asks for the one in force */
    const wire::TableText *text(std::uint64_t tableVersion) const;
    /** @param maxEntries at most that many @return changes, newest first */
    std::vector<wire::HistoryEntry> history(std::size_t maxEntries) const;

    /** @return table and marks as agents get them, without the routes */
    wire::TableInForce inForce() const;

    /** Adds everything to a snapshot. */
    void save(wire::StateSnapshot &to) const;
    /** Replaces everything by a snapshot's; the table in it was checked when it was put. */
    void restore(const wire::StateSnapshot &from);

private:
    /** @return the first answer when the change id is known, else nothing */
    bool answerResend(const std::string &changeId, std::uint64_t contentHash, wire::OperatorReply &reply) const;
    void remember(wire::ChangeRecord record);
    void dropOldTables();
    wire::OperatorReply conflict(const wire::PutTable &change, const table::Table &wanted) const;

    std::deque<wire::TableText> tables;
    std::deque<wire::ChangeRecord> changes;
    /** Number of the change with that id, counted from the first one ever. */
    std::map<std::string, std::uint64_t> byId;
    std::uint64_t dropped = 0;
    table::Table current;
    RouteStore routeStore;
    table::Marks marked;
};

} // namespace bergamotweir::control
