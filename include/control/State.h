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

/** Result of applying one command. */
struct Applied {
    /** Answer to the proposer; empty for commands without an answer. */
    wire::CommandResult result;
    /** Update for the agents; only meaningful when visible is true. */
    wire::StateUpdate update;
    /** Whether the update must be sent to the agents. */
    bool visible = false;
};

/**
 * The replicated state machine of the control group: identical on every replica that has applied the same log.
 * Owned by the control process, which applies committed commands only. It reads no clock and no random numbers: times
 * are part of the commands.
 */
class State
{
public:
    /** Number of slices that a service starts with; slices are split further as upstreams join. */
    static constexpr std::size_t InitialSlices = 64;

    /** @param maxClaims see ClaimStore */
    explicit State(std::size_t maxClaims = ClaimStore::MaxClaims);

    /** Applies the committed command at @p version, which must be later than all versions before. */
    Applied apply(const wire::Version &version, const wire::Command &command);

    /** @return the whole state, serialised */
    std::string snapshot() const;

    /** Replaces the whole state. @return false, with the state unchanged, when @p bytes is not a snapshot */
    bool restore(std::string_view bytes);

    /** @return the full state that agents work with, for an agent that has no state yet */
    wire::StateUpdate fullUpdate() const;

    /** @return version of the newest command applied */
    const wire::Version &version() const;

    /**
     * @return version of the newest command whose update was sent to the agents. An agent that has applied it is up to
     *         date, since claims and marks that change nothing are committed later without being sent to agents. After
     *         restore() it may be later than that, never earlier.
     */
    const wire::Version &visibleVersion() const;

    const TableHistory &tables() const;
    const UpstreamRegistry &upstreams() const;
    /** @return slices of every service that was ever keyed; they are kept so that epochs never restart */
    const std::map<std::string, SliceMap> &services() const;
    const ClaimStore &claims() const;
    const QuarantineStore &quarantine() const;

private:
    void applyCommand(const wire::Command &command, Applied &applied);
    void putTable(const wire::PutTable &change, Applied &applied);
    void putRoutes(const wire::PutRoutes &change, Applied &applied);
    /** Adds the new table to the update for agents and creates slices for services that have become keyed. */
    void publishTable(Applied &applied);
    void putUpstream(const wire::PutUpstream &change, Applied &applied);
    void assignSlices(const wire::AssignSlices &change, Applied &applied);
    void reportCrash(const wire::ReportCrash &crash, Applied &applied);
    void expire(const wire::ExpireClaims &expiry, Applied &applied);

    wire::Version appliedVersion;
    wire::Version lastVisibleVersion;
    TableHistory tableHistory;
    UpstreamRegistry registry;
    std::map<std::string, SliceMap> sliceMaps;
    ClaimStore claimStore;
    QuarantineStore quarantineStore;
};

} // namespace bergamotweir::control
