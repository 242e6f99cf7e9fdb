#include "control/OperatorReads.h"

#include "base/KeyHash.h"
#include "control/Coordinator.h"
#include "control/State.h"
#include "control/VersionOrder.h"

#include <algorithm>
#include <cstdlib>

namespace bergamotweir::control {

namespace {

constexpr std::size_t MaxHistoryEntries = 1000;

void refuse(wire::OperatorReply &reply,
            wire::OperatorStatus status,
            const std::string &place,
            const std::string &reason)
{
    reply.set_status(status);
    wire::FindingText &finding = *reply.add_findings();
    finding.set_place(place);
    finding.set_message(reason);
}

void addTable(const State &state, const wire::GetTable &request, wire::OperatorReply &reply)
{
    if (request.table_version() == 0 && state.tables().tableVersion() == 0) {
        // No table has been put yet. Version 0 stands for the empty table; the first change names it as its base.
        return;
    }
    const wire::TableText *const text = state.tables().text(request.table_version());
    if (text == nullptr) {
        refuse(reply, wire::OPERATOR_STATUS_REFUSED, "table version", "is not kept");
        return;
    }
    reply.set_csv(text->csv());
    reply.set_table_version(text->table_version());
}

void addHistory(const State &state, const wire::GetHistory &request, wire::OperatorReply &reply)
{
    const std::size_t maxEntries =
        request.most() == 0 ? MaxHistoryEntries : std::min<std::size_t>(request.most(), MaxHistoryEntries);
    for (wire::HistoryEntry &entry : state.tables().history(maxEntries)) {
        *reply.add_history() = std::move(entry);
    }
}

void addOwner(const State &state, const wire::GetOwner &request, wire::OperatorReply &reply)
{
    const auto service = state.services().find(request.service());
    if (service == state.services().end()) {
        refuse(reply, wire::OPERATOR_STATUS_REFUSED, "service " + request.service(), "is not divided by key");
        return;
    }
    wire::OwnerReport &owner = *reply.mutable_owner();
    const bool hasNumberedKeys = state.tables().table().service(request.service()).numberedKeys;
    owner.set_hash(hasNumberedKeys
                       ? hashOfNumberedKey(std::strtoull(request.key().c_str(), nullptr, 10) % NumberedKeyCount)
                       : hashKey(request.key()));
    *owner.mutable_slice() = toWire(service->second.at(owner.hash()));
    if (const wire::UpstreamInfo *const upstream = state.upstreams().find(owner.slice().owner()); upstream != nullptr) {
        *owner.mutable_upstream() = *upstream;
    }
}

wire::ServiceStatus statusOf(const std::string &service, const SliceMap &map, const Coordinator &coordinator)
{
    wire::ServiceStatus status;
    status.set_service(service);
    status.set_slices(static_cast<std::uint32_t>(map.slices().size()));
    status.set_slices_moving(static_cast<std::uint32_t>(coordinator.moves().movingSlices(service).size()));
    const auto unowned = std::count_if(map.slices().begin(), map.slices().end(), [](const auto &slice) {
        return slice.second.owner == 0;
    });
    status.set_slices_without_owner(static_cast<std::uint32_t>(unowned));
    return status;
}

std::map<std::uint32_t, std::uint32_t> sliceCountsByOwner(const State &state)
{
    std::map<std::uint32_t, std::uint32_t> counts;
    for (const auto &[service, map] : state.services()) {
        for (const auto &[begin, holding] : map.slices()) {
            ++counts[holding.owner];
        }
    }
    return counts;
}

void addStatus(const State &state, const Coordinator &coordinator, BootTime now, wire::OperatorReply &reply)
{
    wire::StatusReport &report = *reply.mutable_report();
    *report.mutable_version() = state.version();
    *report.mutable_visible() = state.visibleVersion();
    report.set_table_version(state.tables().tableVersion());
    const table::Marks &marks = state.tables().marks();
    for (const std::string &name : marks.failureDomainsOut) {
        report.add_failure_domains_out(name);
    }
    for (const std::string &name : marks.upstreamsOut) {
        report.add_upstreams_out(name);
    }
    for (const auto &[service, map] : state.services()) {
        *report.add_services() = statusOf(service, map, coordinator);
    }
    std::map<std::uint32_t, std::uint32_t> sliceCounts = sliceCountsByOwner(state);
    for (const auto &[id, upstream] : state.upstreams().all()) {
        wire::UpstreamStatus &status = *report.add_upstreams();
        *status.mutable_upstream() = upstream;
        status.set_slices(sliceCounts[id]);
        status.set_marked_out(marks.failureDomainsOut.contains(upstream.failure_domain())
                              || marks.upstreamsOut.contains(upstream.name()));
        const AgentRecord *const agent = coordinator.agents().find(upstream.agent());
        if (agent != nullptr) {
            status.set_lease_valid(mayHoldLease(*agent, now));
            *status.mutable_in_force() = agent->appliedVersion;
        }
    }
    for (const std::uint64_t fingerprint : state.quarantine().quarantined()) {
        report.add_quarantined(fingerprint);
    }
}

} // namespace

wire::OperatorReply
answerRead(const State &state, const Coordinator &coordinator, const wire::OperatorRequest &request, BootTime now)
{
    wire::OperatorReply reply;
    *reply.mutable_version() = state.version();
    reply.set_table_version(state.tables().tableVersion());
    switch (request.body_case()) {
    case wire::OperatorRequest::kGetTable:
        addTable(state, request.get_table(), reply);
        break;
    case wire::OperatorRequest::kGetHistory:
        addHistory(state, request.get_history(), reply);
        break;
    case wire::OperatorRequest::kGetStatus:
        addStatus(state, coordinator, now, reply);
        break;
    case wire::OperatorRequest::kGetOwner:
        addOwner(state, request.get_owner(), reply);
        break;
    case wire::OperatorRequest::kGetRoutes:
        *reply.mutable_routes() = state.tables().routes();
        break;
    case wire::OperatorRequest::kGetInForce:
        *reply.mutable_in_force() = coordinator.inForce(request.get_in_force().version());
        break;
    default:
        refuse(reply, wire::OPERATOR_STATUS_BAD_INPUT, "request", "is not known to this replica");
    }
    return reply;
}

std::string metricsText(const State &state, const Coordinator &coordinator, BootTime now)
{
    std::size_t leaseCount = 0;
    std::size_t agentsBehind = 0;
    for (const auto &[name, agent] : coordinator.agents().agents) {
        leaseCount += mayHoldLease(agent, now) ? 1 : 0;
        agentsBehind += isBefore(agent.appliedVersion, state.visibleVersion()) ? 1 : 0;
    }
    const auto gaugeText = [](const std::string &name, std::uint64_t value) {
        return "# TYPE bergamotweir_control_" + name + " gauge\nbergamotweir_control_" + name + " "
               + std::to_string(value) + "\n";
    };
    std::size_t sliceCount = 0;
    for (const auto &[service, map] : state.services()) {
        sliceCount += map.slices().size();
    }
    std::string text = gaugeText("leading", coordinator.isLeading() ? 1 : 0);
    text += gaugeText("term", state.version().term());
    text += gaugeText("applied_index", state.version().index());
    text += gaugeText("table_version", state.tables().tableVersion());
    text += gaugeText("routes_revision", state.tables().routes().revision());
    text += gaugeText("agents_behind", agentsBehind);
    text += gaugeText("upstreams", state.upstreams().all().size());
    text += gaugeText("slices", sliceCount);
    text += gaugeText("slices_without_owner", sliceCountsByOwner(state)[0]);
    text += gaugeText("slices_moving", coordinator.moves().moves.size());
    text += gaugeText("leases", leaseCount);
    text += gaugeText("claims", state.claims().size());
    return text;
}

} // namespace bergamotweir::control
