#include "control/State.h"

#include "base/KeyHash.h"
#include "control/VersionOrder.h"

#include <cassert>

namespace bergamotweir::control {

namespace {

void saveSlices(const std::string &service, const SliceMap &map, wire::ServiceSlices &to)
{
    to.set_service(service);
    to.mutable_slices()->Reserve(static_cast<int>(map.slices().size()));
    for (auto slice = map.slices().begin(); slice != map.slices().end(); ++slice) {
        *to.add_slices() = toWire(slice);
    }
}

} // namespace

State::State(std::size_t maxClaims)
    : claimStore(maxClaims)
{
}

Applied State::apply(const wire::Version &version, const wire::Command &command)
{
    assert(isBefore(this->appliedVersion, version));
    this->appliedVersion = version;
    Applied applied;
    this->applyCommand(command, applied);
    *applied.update.mutable_version() = version;
    if (applied.visible) {
        this->lastVisibleVersion = version;
    }
    return applied;
}

void State::applyCommand(const wire::Command &command, Applied &applied)
{
    switch (command.body_case()) {
    case wire::Command::kPutTable:
        this->putTable(command.put_table(), applied);
        break;
    case wire::Command::kPutRoutes:
        this->putRoutes(command.put_routes(), applied);
        break;
    case wire::Command::kMark: {
        const table::Marks before = this->tableHistory.marks();
        *applied.result.mutable_operator_reply() = this->tableHistory.mark(this->appliedVersion, command.mark());
        if (this->tableHistory.marks() != before) {
            *applied.update.mutable_table() = this->tableHistory.inForce();
            applied.visible = true;
        }
        break;
    }
    case wire::Command::kPutUpstream:
        this->putUpstream(command.put_upstream(), applied);
        break;
    case wire::Command::kAssign:
        this->assignSlices(command.assign(), applied);
        break;
    case wire::Command::kClaim:
        *applied.result.mutable_claim() = this->claimStore.claim(command.claim());
        break;
    case wire::Command::kClaimOutcome:
        *applied.result.mutable_outcome() = this->claimStore.record(command.claim_outcome());
        break;
    case wire::Command::kExpireClaims:
        this->expire(command.expire_claims(), applied);
        break;
    case wire::Command::kReportCrash:
        this->reportCrash(command.report_crash(), applied);
        break;
    case wire::Command::kBatch:
        for (const wire::Command &part : command.batch().commands()) {
            this->applyCommand(part, applied);
        }
        break;
    case wire::Command::BODY_NOT_SET:
        break;
    }
}

void State::putTable(const wire::PutTable &change, Applied &applied)
{
    const std::uint64_t before = this->tableHistory.tableVersion();
    *applied.result.mutable_operator_reply() = this->tableHistory.put(this->appliedVersion, change);
    if (this->tableHistory.tableVersion() == before) {
        return;
    }
    this->publishTable(applied);
}

void State::putRoutes(const wire::PutRoutes &change, Applied &applied)
{
    const wire::RouteTable before = this->tableHistory.routes();
    *applied.result.mutable_operator_reply() = this->tableHistory.putRoutes(this->appliedVersion, change);
    if (this->tableHistory.routes().revision() != before.revision()) {
        this->publishTable(applied);
        *applied.update.mutable_table()->mutable_routes_change() =
            table::difference(before, this->tableHistory.routes());
    }
}

void State::publishTable(Applied &applied)
{
    applied.visible = true;
    *applied.update.mutable_table() = this->tableHistory.inForce();
    const table::Table &table = this->tableHistory.table();
    for (const std::string &service : table.services()) {
        const table::ServicePolicy policy = table.service(service);
        if (!policy.keyed || this->sliceMaps.contains(service)) {
            continue;
        }
        const std::uint64_t alignment = policy.numberedKeys ? NumberedKeyWidth : 1;
        const auto added = this->sliceMaps.emplace(service, SliceMap::uniform(InitialSlices, alignment)).first;
        saveSlices(service, added->second, *applied.update.add_services());
    }
}

void State::putUpstream(const wire::PutUpstream &change, Applied &applied)
{
    const std::uint32_t id = this->registry.put(change.upstream());
    if (id == 0) {
        return;
    }
    *applied.update.add_upstreams() = *this->registry.find(id);
    applied.visible = true;
}

void State::assignSlices(const wire::AssignSlices &change, Applied &applied)
{
    const auto found = this->sliceMaps.find(change.service());
    if (found == this->sliceMaps.end()) {
        return;
    }
    SliceMap &map = found->second;
    wire::ServiceSlices changed;
    changed.set_service(change.service());
    for (const wire::SliceOwner &slice : change.slices()) {
        if (map.put(slice)) {
            *changed.add_slices() = slice;
        }
    }
    for (const std::uint64_t begin : change.merged()) {
        if (!map.merge(begin)) {
            continue;
        }
        changed.add_merged(begin);
        // The slice before it, into which it was merged, has a new epoch.
        *changed.add_slices() = toWire(map.at(begin));
    }
    if (changed.slices_size() + changed.merged_size() == 0) {
        return;
    }
    *applied.update.add_services() = std::move(changed);
    applied.visible = true;
}

void State::reportCrash(const wire::ReportCrash &crash, Applied &applied)
{
    for (const std::uint64_t fingerprint : this->quarantineStore.recordCrash(crash)) {
        applied.update.add_quarantined(fingerprint);
        applied.visible = true;
    }
}

void State::expire(const wire::ExpireClaims &expiry, Applied &applied)
{
    this->claimStore.expire(fromUnixMillis(expiry.before_unix_ms()));
    for (const std::uint64_t fingerprint :
         this->quarantineStore.expire(fromUnixMillis(expiry.quarantine_before_unix_ms()))) {
        applied.update.add_released_from_quarantine(fingerprint);
        applied.visible = true;
    }
}

std::string State::snapshot() const
{
    wire::StateSnapshot saved;
    *saved.mutable_version() = this->appliedVersion;
    this->tableHistory.save(saved);
    for (const auto &[id, upstream] : this->registry.all()) {
        *saved.add_upstreams() = upstream;
    }
    for (const auto &[service, map] : this->sliceMaps) {
        saveSlices(service, map, *saved.add_services());
    }
    this->quarantineStore.save(saved);
    std::string bytes = saved.SerializeAsString();
    this->claimStore.appendTo(bytes);
    return bytes;
}

bool State::restore(std::string_view bytes)
{
    wire::StateSnapshot saved;
    if (!saved.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return false;
    }
    this->appliedVersion = saved.version();
    this->lastVisibleVersion = saved.version();
    this->tableHistory.restore(saved);
    this->registry.restore(saved);
    this->sliceMaps.clear();
    for (const wire::ServiceSlices &service : saved.services()) {
        this->sliceMaps.emplace(service.service(), SliceMap::uniform(1)).first->second.restore(service);
    }
    this->claimStore.restore(saved);
    this->quarantineStore.restore(saved);
    return true;
}

wire::StateUpdate State::fullUpdate() const
{
    wire::StateUpdate update;
    *update.mutable_version() = this->appliedVersion;
    update.set_full(true);
    *update.mutable_table() = this->tableHistory.inForce();
    *update.mutable_table()->mutable_routes() = table::withoutSources(this->tableHistory.routes());
    for (const auto &[id, upstream] : this->registry.all()) {
        *update.add_upstreams() = upstream;
    }
    for (const auto &[service, map] : this->sliceMaps) {
        saveSlices(service, map, *update.add_services());
    }
    for (const std::uint64_t fingerprint : this->quarantineStore.quarantined()) {
        update.add_quarantined(fingerprint);
    }
    return update;
}

const wire::Version &State::version() const
{
    return this->appliedVersion;
}

const wire::Version &State::visibleVersion() const
{
    return this->lastVisibleVersion;
}

const TableHistory &State::tables() const
{
    return this->tableHistory;
}

const UpstreamRegistry &State::upstreams() const
{
    return this->registry;
}

const std::map<std::string, SliceMap> &State::services() const
{
    return this->sliceMaps;
}

const ClaimStore &State::claims() const
{
    return this->claimStore;
}

const QuarantineStore &State::quarantine() const
{
    return this->quarantineStore;
}

} // namespace bergamotweir::control
