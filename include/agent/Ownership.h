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

/** A range of keys that an upstream may hold by a grant of its own, both ends included. */
struct HeldRange {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::uint64_t epoch = 0;
    /** The upstream is known to hold it at this moment; otherwise it only may. */
    bool confirmed = true;

    bool operator==(const HeldRange &other) const = default;
};

/**
 * The slices of the agent's own upstreams: which are being given up, and what work is in progress on them.
 * Owned by the agent process.
 */
struct Ownership {
    /** Ids that control gave to this agent's upstreams. */
    std::set<std::uint32_t> ownUpstreams;
    /** No new work is taken, Released follows when the work in progress has ended. */
    std::set<SliceKey> revoked;
    /** Released was sent; never served again under that epoch, whatever a later leader knows of it. */
    std::set<SliceKey> released;
    /** Hashes of the keys on which work is in progress at an upstream, per service. */
    std::map<std::string, std::multiset<std::uint64_t>, std::less<>> work;
    /**
     * Whether upstreams keep grants of their own, renewed when they send a heartbeat. Such an upstream serves a key
     * only while it holds it, and a revoked slice is released only once the upstream holds it no more.
     */
    bool upstreamsHoldGrants = false;
    /**
     * Services whose upstream has said what it holds since this agent started. An upstream outlives its agent: until it
     * speaks, or all that the agent before may have granted has run out, it may hold anything.
     */
    std::set<std::string, std::less<>> servicesReported;
    bool predecessorGrantsExpired = false;
    /** Per service, what the upstream may hold at this moment. */
    std::map<std::string, std::vector<HeldRange>, std::less<>> held;
    /** Revoked slices that the upstream was told to give up: no new work from then on. */
    std::set<SliceKey> revokesSent;
    /** What upstreams gave out with slices that they gave up, for the next owner. */
    std::map<SliceKey, std::string> handovers;
};

/** Why a keyed request may not be dispatched here. */
enum class OwnershipRefusal {
    None,
    /** Another upstream owns the slice, or nobody does. */
    NotOwner,
    NoLease,
    /** The slice is being moved away. */
    Moving
};

/**
 * Decides at the moment of a dispatch whether this agent may serve a key.
 * @param now the time of the dispatch
 * @param slice receives the slice when the answer is None
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

/** @return whether one of the ranges that are surely held, under the slice's epoch, covers all of the slice */
bool covers(const std::vector<HeldRange> &held, const RouteMap &map, std::string_view service, const Slice &slice);

/** Handles a key that the upstream disowned: its range counts as not held until it is granted again. */
void recordKeyNotHeld(Ownership &ownership, std::string_view service, std::uint64_t hash);

/** Counts work on a key from its dispatch until it has surely ended; endWork() is called with the same key. */
void beginWork(Ownership &ownership, const std::string &service, std::uint64_t hash);
void endWork(Ownership &ownership, const std::string &service, std::uint64_t hash);

/** Stops new work on the slices; ones that this agent doesn't own under that epoch count as revoked as well. */
void revoke(Ownership &ownership, const wire::Revoke &order);

/**
 * Takes out the revoked slices on which no work is left, to be told to control.
 * Work is counted by key hash, not by slice: a split or a merge while it runs doesn't hide it.
 * @return empty when there is nothing to tell
 */
wire::Released takeReleased(Ownership &ownership, const RouteMap &map);

/**
 * After the first full state of a session: finds released slices that the state still gives to this agent under the
 * same epoch. The leader that heard Released may be gone; told again, its follower gives the slice a new epoch.
 * Revocations stand as well: their Released follows when the work ends, whoever leads then.
 * @return what has to be told again
 */
wire::Released resumeReleased(Ownership &ownership, const RouteMap &map);

/** Forgets revoked and released slices that the map has since given a newer epoch. */
void forgetOldEpochs(Ownership &ownership, const RouteMap &map);

} // namespace bergamotweir::agent
