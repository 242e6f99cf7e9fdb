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
 * The shared table, the marks, and the changes of both that an operator may still resend.
 * Owned by the replicated state; every method is deterministic.
 *
 * Guards against two operators who edit the same version, where the second change would silently undo the first: each
 * change names the version that it was made from, and any version but the newest is a conflict. Also guards against a
 * resend after a lost answer, which would fail as a conflict with itself: a known change id gets its first answer
 * again.
 */
class TableHistory
{
public:
    /** Maximum number of tables kept in full, for reading back and for naming the rows in which a conflict differs. */
    static constexpr std::size_t MaxTables = 32;
    /** Maximum total size in bytes of the tables kept in full; the newest one is kept regardless of its size. */
    static constexpr std::size_t MaxStoredTableBytes = std::size_t{8} * 1024 * 1024;
    /** Maximum number of changes whose ids are kept: more than eight hours at 12,000 changes a day. */
    static constexpr std::size_t MaxChanges = 4096;
    /** Maximum number of differing rows that the answer to a conflict names. */
    static constexpr std::size_t MaxNamedRows = 20;

    /**
     * Puts a new table in force.
     * @return done with the version, a conflict that names the differing rows and the author of the newest version, or
     *         bad input with everything wrong with the table
     */
    wire::OperatorReply put(const wire::Version &version, const wire::PutTable &change);

    /** Puts new routes in force. @return the reply of RouteStore::put() with the version */
    wire::OperatorReply putRoutes(const wire::Version &version, const wire::PutRoutes &change);

    /** Marks a failure domain or an upstream in or out of service. */
    wire::OperatorReply mark(const wire::Version &version, const wire::Mark &change);

    /** @return the table in force */
    const table::Table &table() const;
    /** @return the routes in force, as the operator wrote them */
    const wire::RouteTable &routes() const;
    /** @return number of the table in force; 0 before the first table */
    std::uint64_t tableVersion() const;
    /** @return the failure domains and upstreams that are marked out of service */
    const table::Marks &marks() const;
    /** @param tableVersion 0 for the table in force @return the table of that number, or nullptr when it is not kept */
    const wire::TableText *text(std::uint64_t tableVersion) const;
    /** @param maxEntries maximum number of entries returned @return the changes, newest first */
    std::vector<wire::HistoryEntry> history(std::size_t maxEntries) const;

    /** @return table and marks in the form sent to agents, without the routes */
    wire::TableInForce inForce() const;

    /** Adds tables, marks, changes and routes to a snapshot. */
    void save(wire::StateSnapshot &to) const;
    /** Replaces everything with the contents of a snapshot, whose table was validated when it was put. */
    void restore(const wire::StateSnapshot &from);

private:
    /**
     * Answers a change whose id is missing or known: the first answer again for the same content, else a refusal.
     * @return whether @p reply was set
     */
    bool answerResend(const std::string &changeId, std::uint64_t contentHash, wire::OperatorReply &reply) const;
    void recordChange(wire::ChangeRecord record);
    void dropOldTables();
    wire::OperatorReply conflict(const wire::PutTable &change, const table::Table &proposed) const;

    std::deque<wire::TableText> tables;
    std::deque<wire::ChangeRecord> changes;
    /** Number of each change, counted from the first change ever made, by change id. */
    std::map<std::string, std::uint64_t> changeNumberById;
    /** Number of changes that are no longer kept; it is also the number of the first entry of changes. */
    std::uint64_t droppedChanges = 0;
    table::Table current;
    RouteStore routeStore;
    table::Marks currentMarks;
};

} // namespace bergamotweir::control
