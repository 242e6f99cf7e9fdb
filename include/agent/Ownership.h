#pragma once

#include "agent/RouteMap.h"

#include <vector>

namespace bergamotweir::agent {

struct Lease;

/** A slice under one epoch. */
struct SliceKey {
    std::string service;
    std::uint64_t begin = 0;
    std::uint64_t epoch = 0;

    bool operator<(const SliceKey &other) const;
};

/** A range of keys that an upstream may hold by its own grant, both ends included. */
struct HeldRange {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::uint64_t epoch = 0;
    /** Whether the upstream is known to hold the range now; otherwise it may hold it. */
    bool confirmed = true;

    bool operator==(const HeldRange &other) const = default;
};

/**
 * State of the slices of the agent's own upstreams: which are being released, and what work is in progress on them.
 * Owned by the agent process.
 */
struct Ownership {
    /** Ids that control assigned to this agent's upstreams. */
    std::set<std::uint32_t> ownUpstreams;
    /** No new work is accepted; Released is sent when the work in progress has ended. */
    std::set<SliceKey> revoked;
    /** Released was sent. Never served again under that epoch, even if a later leader has no record of the release. */
    std::set<SliceKey> released;
    /** Hashes of the keys on which work is in progress at an upstream, per service. */
    std::map<std::string, std::multiset<std::uint64_t>, std::less<>> work;
    /**
     * Whether upstreams hold their own grants, renewed when they send a heartbeat. Such an upstream serves a key only
     * while it holds it, and a revoked slice is released only when the upstream no longer holds it.
     */
    bool upstreamsHoldGrants = false;
    /**
     * Services whose upstream has reported what it holds since this agent started. An upstream outlives its agent, and
     * a report that was delayed doesn't list what the predecessor granted after it. Therefore, until all grants that
     * the predecessor may have given have expired, the upstream may hold any key that it hasn't reported as released
     * since this agent revoked it.
     */
    std::set<std::string, std::less<>> servicesReported;
    bool predecessorGrantsExpired = false;
    /**
     * Services at whose upstream's address no process has listened at some time since this agent started: what the
     * predecessor had granted there has ended. A later process that is known by its own report may hold such grants.
     */
    std::set<std::string, std::less<>> servicesEnded;
    /** Per service, the ranges that the upstream may hold now. */
    std::map<std::string, std::vector<HeldRange>, std::less<>> held;
    /** Revoked slices whose revoke was sent to the upstream; no new work is accepted from then on. */
    std::set<SliceKey> revokesSent;
    /** Handover data that upstreams provided with released slices, for the next owner. */
    std::map<SliceKey, std::string> handovers;
};

/** Why a keyed request can't be dispatched here. */
enum class OwnershipRefusal {
    None,
    /** Another upstream owns the slice, or it has no owner. */
    NotOwner,
    NoLease,
    /** The slice is being moved away. */
    Moving
};

/**
 * Decides at the time of a dispatch whether this agent may serve a key.
 * @param now the time of the dispatch
 * @param slice receives the slice when the result is None
 */
OwnershipRefusal checkOwnership(const Ownership &ownership,
                                const RouteMap &map,
                                const Lease &lease,
                                std::string_view service,
                                std::uint64_t hash,
                                BootTime now,
                                Slice *slice);

/** @return checkOwnership() == None */
bool ownsLocally(const Ownership &ownership,
                 const RouteMap &map,
                 const Lease &lease,
                 std::string_view service,
                 std::uint64_t hash,
                 BootTime now);

/** @return whether one of the confirmed ranges covers the whole slice under the slice's epoch */
bool covers(const std::vector<HeldRange> &held, const RouteMap &map, std::string_view service, const Slice &slice);

/** Records that the upstream doesn't hold a key: its range counts as not held until it is granted again. */
void recordKeyNotHeld(Ownership &ownership, std::string_view service, std::uint64_t hash);

/** Counts work on a key from its dispatch until it has definitely ended; endWork() is called with the same key. */
void beginWork(Ownership &ownership, const std::string &service, std::uint64_t hash);
void endWork(Ownership &ownership, const std::string &service, std::uint64_t hash);

/** Stops new work on the slices; slices that this agent doesn't own under that epoch are marked as revoked too. */
void revoke(Ownership &ownership, const wire::Revoke &order);

/**
 * Removes and returns the revoked slices on which no work is in progress, to be reported to control.
 * Work is counted by key hash and not by slice, so that a split or a merge in the meantime doesn't hide it.
 * @return empty when there is nothing to report
 */
wire::Released takeReleased(Ownership &ownership, const RouteMap &map);

/**
 * Finds, after the first full state of a session, released slices that the state still assigns to this agent under the
 * same epoch. The leader that received Released may have been replaced; when the message is sent again, its successor
 * gives the slice a new epoch. Revocations stay in force too: Released is sent to the current leader when their work
 * ends.
 * @return the slices to report again
 */
wire::Released resumeReleased(Ownership &ownership, const RouteMap &map);

/** Forgets released slices, and handover data of slices, that have a newer epoch in the map. */
void forgetOldEpochs(Ownership &ownership, const RouteMap &map);

} // namespace bergamotweir::agent
