#include "base/KeyHash.h"
#include "control/Assignment.h"
#include "control/Coordinator.h"
#include "control/SliceSplits.h"
#include "control/State.h"

#include <algorithm>
#include <cassert>
#include <unordered_map>

namespace bergamotweir::control {

namespace {

/** Minimum share of an upstream's target load at which a key gets a slice of its own. */
constexpr double MinHotKeyShare = 0.25;
/** Part of a stated rate limit that is planned for: requests arrive unevenly, and those above the limit are refused. */
constexpr double RateLimitUse = 0.8;

wire::SliceRef makeSliceRef(const SliceName &slice, std::uint64_t epoch)
{
    wire::SliceRef ref;
    ref.set_service(slice.first);
    ref.set_begin(slice.second);
    ref.set_epoch(epoch);
    return ref;
}

bool contains(const std::vector<Member> &members, std::uint32_t id)
{
    return std::any_of(members.begin(), members.end(), [&](const Member &member) {
        return member.id == id;
    });
}

} // namespace

void Coordinator::sendRevokes(const std::vector<SliceName> &slices)
{
    std::map<SessionId, wire::ControlMessage> messages;
    for (const SliceName &slice : slices) {
        const Move &move = this->moveTracker.moves.at(slice);
        const wire::UpstreamInfo *const owner = this->state.upstreams().find(move.from);
        const AgentRecord *const agent = owner == nullptr ? nullptr : this->agentRegistry.find(owner->agent());
        if (agent != nullptr && agent->hasFullState) {
            *messages[agent->session].mutable_revoke()->add_slices() = makeSliceRef(slice, move.epoch);
        }
    }
    for (auto &[session, message] : messages) {
        this->send(session, std::move(message));
    }
}

void Coordinator::resendRevokes(const AgentRecord &agent)
{
    std::vector<SliceName> slices;
    for (const auto &[slice, move] : this->moveTracker.moves) {
        const wire::UpstreamInfo *const owner = this->state.upstreams().find(move.from);
        if (move.phase == MovePhase::Revoking && owner != nullptr && owner->agent() == agent.name) {
            slices.push_back(slice);
        }
    }
    this->sendRevokes(slices);
}

void Coordinator::receivedReleased(const AgentRecord &agent, const wire::Released &released)
{
    for (const wire::SliceRef &ref : released.slices()) {
        const auto service = this->state.services().find(ref.service());
        if (service == this->state.services().end()) {
            continue;
        }
        const auto slice = service->second.slices().find(ref.begin());
        if (slice == service->second.slices().end() || slice->second.epoch != ref.epoch()) {
            continue;
        }
        const wire::UpstreamInfo *const owner = this->state.upstreams().find(slice->second.owner);
        if (owner == nullptr || owner->agent() != agent.name) {
            continue;
        }
        const SliceName name(ref.service(), ref.begin());
        if (this->moveTracker.find(name) == nullptr) {
            // Revoked by a previous leader. The slice stays unserved until it gets a new epoch, for its owner or
            // another.
            this->moveTracker.moves[name] = {.epoch = ref.epoch(),
                                             .from = owner->id(),
                                             .to = owner->id(),
                                             .previousAgent = {},
                                             .notBefore = {},
                                             .handover = {}};
        }
        Move &move = this->moveTracker.moves.at(name);
        if (move.phase == MovePhase::Revoking) {
            move.phase = MovePhase::Released;
            move.handover = ref.handover();
            // A restarted agent sends Released for the requests that it knows; its predecessor may have sent more.
            move.notBefore = agent.startedAt + this->maxWorkTime(*owner);
        }
    }
}

bool Coordinator::isSafeToReassign(std::uint32_t owner, BootTime now) const
{
    if (owner == 0) {
        return true;
    }
    const wire::UpstreamInfo *const upstream = this->state.upstreams().find(owner);
    assert(upstream != nullptr);
    const AgentRecord *const agent = this->agentRegistry.find(upstream->agent());
    return agent == nullptr || (isLost(*agent, now) && now >= agent->leaseUntil + this->maxWorkTime(*upstream));
}

void Coordinator::planServices(BootTime now)
{
    if (!this->leading) {
        return;
    }
    for (const auto &[service, map] : this->state.services()) {
        if (this->state.tables().table().service(service).keyed) {
            this->planService(service, map, now);
        }
    }
}

std::vector<Member> Coordinator::membersOf(const std::string &service, BootTime now)
{
    const std::unordered_map<std::uint32_t, double> relativeSpeeds = this->loadTracker.relativeSpeeds(service, now);
    std::vector<Member> members;
    const std::set<std::uint32_t> &ids = this->state.upstreams().ofService(service);
    members.reserve(ids.size());
    for (const std::uint32_t id : ids) {
        const double weight = this->weightOf(*this->state.upstreams().find(id), now);
        if (weight > 0) {
            const auto speed = relativeSpeeds.find(id);
            members.push_back({id, speed == relativeSpeeds.end() ? weight : weight * speed->second});
        }
    }
    return members;
}

double Coordinator::weightOf(const wire::UpstreamInfo &upstream, BootTime now) const
{
    const AgentRecord *const agent = this->agentRegistry.find(upstream.agent());
    if (!upstream.serving() || agent == nullptr || !mayHoldLease(*agent, now) || agent->forcedMovesInFlight > 0) {
        return 0;
    }
    const TableHistory &tables = this->state.tables();
    const table::KnownUpstream known{upstream.service(), upstream.failure_domain(), upstream.name()};
    if (!table::isInService(tables.table(), tables.marks(), known)) {
        return 0;
    }
    return tables.table().upstream(known.service, known.failureDomain, known.name).weight;
}

void Coordinator::recordMembers(ServicePlan &servicePlan, const std::vector<Member> &members, BootTime now) const
{
    std::vector<std::uint32_t> ids;
    ids.reserve(members.size());
    for (const Member &member : members) {
        ids.push_back(member.id);
    }
    if (ids != servicePlan.memberIds) {
        servicePlan.memberIds = std::move(ids);
        // Load is rebalanced only after a delay without changes, within which a restarted upstream may have returned.
        servicePlan.membersChangedAt = servicePlan.rebalanceAtOnce ? now - this->settings.rebalanceDelay : now;
    }
    servicePlan.rebalanceAtOnce = false;
}

double Coordinator::headroomOf(const std::string &service, const std::vector<Member> &members, BootTime now) const
{
    double slots = 0;
    for (const Member &member : members) {
        slots += this->state.upstreams().find(member.id)->slots();
    }
    return this->loadTracker.headroom(service, slots, now);
}

std::vector<LoadCap> Coordinator::loadCaps(const std::string &service, const std::vector<Member> &members) const
{
    std::vector<LoadCap> caps;
    const double rate = this->loadTracker.requestRate(service);
    for (const Member &member : members) {
        const double limit = this->state.upstreams().find(member.id)->rate_limit();
        if (limit > 0 && rate > 0) {
            caps.push_back({member.id, RateLimitUse * limit / rate});
        }
    }
    return caps;
}

void Coordinator::summarizeWork(BootTime now)
{
    this->workSummarizedAt = now;
    this->serviceWork.clear();
    std::map<std::string, double> slots;
    for (const auto &[id, upstream] : this->state.upstreams().all()) {
        if (upstream.serving()) {
            slots[upstream.service()] += upstream.slots();
        }
    }
    for (const auto &[service, serviceSlots] : slots) {
        wire::ServiceWork work;
        work.set_service(service);
        work.set_mean_seconds(static_cast<float>(this->loadTracker.meanWorkSeconds(service)));
        work.set_headroom(static_cast<float>(this->loadTracker.headroom(service, serviceSlots, now)));
        if (work.mean_seconds() > 0) {
            this->serviceWork.push_back(std::move(work));
        }
    }
}

bool Coordinator::proposeSplits(const std::string &service,
                                const SliceMap &map,
                                const std::vector<Member> &members,
                                BootTime now)
{
    const std::size_t memberCount = members.size();
    ServicePlan &servicePlan = this->servicePlans[service];
    if (servicePlan.splitInFlight || memberCount == 0) {
        return servicePlan.splitInFlight;
    }
    const double targetShare = 1.0 / static_cast<double>(memberCount);
    const table::ServicePolicy policy = this->state.tables().table().service(service);
    const SliceSplits splits = planSplits(map,
                                          memberCount * this->settings.slicesPerUpstream,
                                          this->loadTracker.hotKeys(service, MinHotKeyShare * targetShare, now),
                                          this->moveTracker.movingSlices(service),
                                          policy.numberedKeys ? NumberedKeyWidth : 1);
    if (splits.empty()) {
        return false;
    }
    wire::Command command;
    command.mutable_assign()->set_service(service);
    for (const std::uint64_t begin : splits.added) {
        wire::SliceOwner slice = toWire(map.at(begin));
        slice.set_begin(begin);
        *command.mutable_assign()->add_slices() = slice;
    }
    for (const std::uint64_t begin : splits.merged) {
        command.mutable_assign()->add_merged(begin);
    }
    servicePlan.splitInFlight = true;
    Proposal proposal;
    proposal.splitService = service;
    this->propose(std::move(command), std::move(proposal));
    return true;
}

std::vector<SliceMove> Coordinator::wantedMoves(const std::string &service,
                                                const SliceMap &map,
                                                const std::vector<Member> &members,
                                                BootTime now)
{
    std::vector<LoadedSlice> slices;
    slices.reserve(map.slices().size());
    for (const auto &[begin, holding] : map.slices()) {
        LoadedSlice slice{.begin = begin, .owner = holding.owner, .load = 0, .moving = false};
        if (const Move *const move = this->moveTracker.find({service, begin}); move != nullptr) {
            // A target that is no longer a member is replaced; the revoke stays valid.
            slice.owner = move->to;
            slice.moving = contains(members, move->to) || move->phase == MovePhase::Committing;
        }
        slices.push_back(slice);
    }
    this->loadTracker.distributeLoad(service, map, slices);
    if (members.empty()) {
        // Out of service means no new work, even when no other upstream can take the keys.
        std::vector<SliceMove> moves;
        for (const LoadedSlice &slice : slices) {
            if (slice.owner != 0 && !slice.moving) {
                moves.push_back({slice.begin, slice.owner, 0});
            }
        }
        return moves;
    }
    const ServicePlan &servicePlan = this->servicePlans[service];
    const bool isUnassigned = std::all_of(slices.begin(), slices.end(), [](const LoadedSlice &slice) {
        return slice.owner == 0;
    });
    if (isUnassigned && now < servicePlan.membersChangedAt + this->settings.initialAssignmentDelay) {
        return {};
    }
    const bool isSettled = now >= servicePlan.membersChangedAt + this->settings.rebalanceDelay;
    // Until the members have settled only orphans move, so any imbalance is tolerated.
    constexpr double AnyImbalance = 1e9;
    const double tolerance = toleratedImbalance(this->settings.tolerance, this->headroomOf(service, members, now));
    return isSettled ? assign(capWeights(members, this->loadCaps(service, members), tolerance), slices, tolerance)
                     : assign(members, slices, AnyImbalance);
}

std::uint32_t Coordinator::successorOf(std::uint32_t ended, BootTime now) const
{
    const wire::UpstreamInfo *const endedUpstream = this->state.upstreams().find(ended);
    const AgentRecord *const agent =
        endedUpstream == nullptr ? nullptr : this->agentRegistry.find(endedUpstream->agent());
    if (agent == nullptr || !agent->hasFullState || !this->settings.addressReuseProvesExit) {
        return 0;
    }
    for (const auto &[name, announced] : agent->announced) {
        const wire::UpstreamInfo *const candidate = this->state.upstreams().find(name.first, name.second);
        const bool matches = candidate != nullptr && candidate->service() == endedUpstream->service()
                             && candidate->agent() == agent->name;
        if (matches && replacesUpstream(*candidate, *endedUpstream) && this->weightOf(*candidate, now) > 0) {
            return candidate->id();
        }
    }
    return 0;
}

/**
 * Reassigns slices to successors without waiting for Released, so that keys aren't unserved for seconds after a loss of
 * power. When agents and upstreams restart together, each agent is asked to release the slices of an upstream that has
 * ended, but must not confirm before all grants that its predecessor can have given have expired. Those grants can have
 * reached only the process that took the address, and the agent is that process's only gate. Therefore it gets the
 * slices under the next epoch at once.
 */
void Coordinator::reassignToSuccessors(const std::string &service, const SliceMap &map, BootTime now)
{
    std::map<std::uint32_t, std::uint32_t> successors;
    for (const auto &[begin, holding] : map.slices()) {
        const auto [known, added] = successors.try_emplace(holding.owner, 0);
        if (added && holding.owner != 0) {
            known->second = this->successorOf(holding.owner, now);
        }
        if (known->second == 0) {
            continue;
        }
        const SliceName name(service, begin);
        const Move *const existing = this->moveTracker.find(name);
        if (existing != nullptr && existing->phase != MovePhase::Revoking) {
            continue;
        }
        this->moveTracker.moves[name] = {.epoch = holding.epoch,
                                         .from = holding.owner,
                                         .to = known->second,
                                         .phase = MovePhase::Released,
                                         .previousAgent = {},
                                         .notBefore = {},
                                         .handover = {}};
    }
}

void Coordinator::planService(const std::string &service, const SliceMap &map, BootTime now)
{
    ServicePlan &servicePlan = this->servicePlans[service];
    if (!servicePlan.dirty && now < servicePlan.nextCheckAt) {
        return;
    }
    const std::vector<Member> members = this->membersOf(service, now);
    this->recordMembers(servicePlan, members, now);
    servicePlan.dirty = false;
    servicePlan.nextCheckAt = now + this->settings.rebalanceInterval;
    if (this->proposeSplits(service, map, members, now)) {
        // The slices are about to change; the moves are planned once they have.
        return;
    }
    this->reassignToSuccessors(service, map, now);
    const std::vector<SliceMove> wanted = this->wantedMoves(service, map, members, now);
    if (wanted.empty()) {
        // Nothing to do until the members have settled or, later, loads have drifted. Any other change sets dirty.
        const BootTime settledAt = servicePlan.membersChangedAt + this->settings.rebalanceDelay;
        const BootTime initialAssignmentAt = servicePlan.membersChangedAt + this->settings.initialAssignmentDelay;
        const BootTime idleCheckAt = now + this->settings.idleCheckInterval;
        servicePlan.nextCheckAt = now < initialAssignmentAt ? initialAssignmentAt
                                  : now < settledAt         ? settledAt
                                                            : idleCheckAt;
    }
    this->beginMoves(service, map, wanted, members, now);
}

void Coordinator::beginMoves(const std::string &service,
                             const SliceMap &map,
                             const std::vector<SliceMove> &wanted,
                             const std::vector<Member> &members,
                             BootTime now)
{
    std::unordered_map<std::uint32_t, std::size_t> movesByUpstream = this->moveTracker.countByUpstream();
    std::vector<SliceName> revoked;
    for (const SliceMove &wantedMove : wanted) {
        const SliceName name(service, wantedMove.begin);
        const SliceHolding holding = map.slices().at(wantedMove.begin);
        if (Move *const existing = this->moveTracker.find(name); existing != nullptr) {
            existing->to = wantedMove.to;
            continue;
        }
        if (this->isSafeToReassign(holding.owner, now)) {
            Move &move = this->moveTracker.moves[name];
            move = {.epoch = holding.epoch,
                    .from = holding.owner,
                    .to = wantedMove.to,
                    .previousAgent = {},
                    .notBefore = {},
                    .handover = {}};
            this->forceMove(move);
            continue;
        }
        const AgentRecord *const agent = this->agentRegistry.find(this->state.upstreams().find(holding.owner)->agent());
        if (agent == nullptr || !agent->hasFullState || !mayHoldLease(*agent, now)) {
            continue;
        }
        if (contains(members, holding.owner)) {
            // Both upstreams stay in service, so the move isn't urgent and a cold upstream gets its load gradually.
            if (std::max(movesByUpstream[holding.owner], movesByUpstream[wantedMove.to])
                >= this->settings.movesPerUpstream) {
                continue;
            }
        }
        ++movesByUpstream[holding.owner];
        ++movesByUpstream[wantedMove.to];
        this->moveTracker.moves[name] = {.epoch = holding.epoch,
                                         .from = holding.owner,
                                         .to = wantedMove.to,
                                         .previousAgent = {},
                                         .notBefore = {},
                                         .handover = {}};
        revoked.push_back(name);
    }
    this->sendRevokes(revoked);
    this->proposeReleased(now);
}

void Coordinator::forceMovesOfLost(BootTime now)
{
    for (auto &[slice, move] : this->moveTracker.moves) {
        if (move.phase == MovePhase::Revoking && this->isSafeToReassign(move.from, now)) {
            this->forceMove(move);
        }
    }
}

void Coordinator::forceMove(Move &move)
{
    move.phase = MovePhase::Released;
    if (move.from == 0) {
        return;
    }
    // An agent that was frozen may resume between this decision and its commit. If its lease were renewed before it
    // receives the commit, it would serve the slice at the same time as the new owner.
    move.previousAgent = this->state.upstreams().find(move.from)->agent();
    ++this->agentRegistry.getOrCreate(move.previousAgent).forcedMovesInFlight;
}

bool Coordinator::canReceiveSlices(std::uint32_t upstream, BootTime now) const
{
    if (upstream == 0) {
        return true;
    }
    const wire::UpstreamInfo *const target = this->state.upstreams().find(upstream);
    return target != nullptr && this->weightOf(*target, now) > 0;
}

void Coordinator::proposeReleased(BootTime now)
{
    std::map<std::string, wire::AssignSlices> changes;
    Proposal proposal;
    for (auto &[slice, move] : this->moveTracker.moves) {
        if (move.phase != MovePhase::Released || now < move.notBefore) {
            continue;
        }
        if (!this->canReceiveSlices(move.to, now)) {
            this->servicePlans[slice.first].dirty = true;
            continue;
        }
        wire::AssignSlices &change = changes[slice.first];
        change.set_service(slice.first);
        wire::SliceOwner &next = *change.add_slices();
        next.set_begin(slice.second);
        next.set_owner(move.to);
        next.set_epoch(move.epoch + 1);
        next.set_handover(move.handover);
        move.phase = MovePhase::Committing;
        proposal.slices.push_back(slice);
    }
    if (changes.empty()) {
        return;
    }
    wire::Command command;
    for (auto &[service, change] : changes) {
        *command.mutable_batch()->add_commands()->mutable_assign() = std::move(change);
    }
    this->propose(std::move(command), std::move(proposal));
}

} // namespace bergamotweir::control
