#pragma once

#include "base/Result.h"
#include "control.pb.h"
#include "control/ClaimStore.h"
#include "control/QuarantineStore.h"
#include "control/SliceMap.h"
#include "control/TableHistory.h"
#include "control/UpstreamRegistry.h"

#include <map>
#include <string>
#include <string_view>

namespace bergamotweir::control {

/** What applying one command brought about. */
struct Applied {
    /** For the proposer; empty for commands that answer nothing. */
    wire::CommandResult result;
    /** For the agents; meaningless unless visible. */
    wire::StateUpdate update;
    /** True when agents must hear of it. */
    bool visible = false;
};

/**
 * The replicated state machine of the control group: equal on every replica that has applied the same log.
 * Owned by the control process, which feeds it committed commands only. It reads no clock and no randomness: times are
 * part of the commands.
 */
class State
{
public:
    /** Slices that a service starts with; more are made by splitting as upstreams join. */
    static constexpr std::size_t InitialSlices = 64;

    /** @param maxClaims see ClaimStore */
    explicit State(std::size_t maxClaims = ClaimStore::MaxClaims);

    /** Applies the committed command at @p version; versions only grow. */
    Applied apply(const wire::Version &version, const wire::Command &command);

    /** @return the whole state, serialised */
    std::string snapshot() const;

    /** Replaces the whole state. @return false when @p bytes is no snapshot; nothing changed then */
    bool restore(std::string_view bytes);

    /** @return all that agents know, for one that starts from nothing */
    wire::StateUpdate fullUpdate() const;

    /** @return version of the newest command applied */
    const wire::Version &version() const;

    /**
     * @return version of the newest command that agents had to hear of. Agents in force at it have everything: claims
     *         and marks that change nothing are committed later without being sent to them. After restore() it may
     *         be later than that, never earlier.
     */
    const wire::Version &visibleVersion() const;

    const TableHistory &tables() const;
    const UpstreamRegistry &upstreams() const;
    /** @return slices of every service that was ever keyed, so that epochs never start again */
    const std::map<std::string, SliceMap> &services() const;
    const ClaimStore &claims() const;
    const QuarantineStore &quarantine() const;

private:
    void applyOne(const wire::Command &command, Applied &applied);
    void putTable(const wire::PutTable &change, Applied &applied);
    void putRoutes(const wire::PutRoutes &change, Applied &applied);
    /** Tells agents of the new table, and divides services that have become keyed. */
    void tableChanged(Applied &applied);
    void putUpstream(const wire::PutUpstream &change, Applied &applied);
    void assignSlices(const wire::AssignSlices &change, Applied &applied);
    void reportCrash(const wire::ReportCrash &crash, Applied &applied);
    void expire(const wire::ExpireClaims &expiry, Applied &applied);

    wire::Version newest;
    wire::Version newestVisible;
    TableHistory tableHistory;
    UpstreamRegistry registry;
    std::map<std::string, SliceMap> sliceMaps;
    ClaimStore claimStore;
    QuarantineStore quarantineStore;
};

} // namespace bergamotweir::control
