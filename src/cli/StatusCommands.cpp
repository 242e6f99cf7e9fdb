#include "Answer.h"
#include "Commands.h"
#include "UpstreamCondition.h"
#include "cli/Command.h"
#include "cli/Context.h"
#include "cli/Values.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>

namespace bergamotweir::cli {

namespace {

/**
 * Number of upstreams that fit on a screen with the rest of the status. If there are more, only those that are not
 * serving or are behind the visible version are listed, up to this number.
 */
constexpr int MaxUpstreamsListed = 24;

std::string versionText(const wire::Version &version)
{
    return std::to_string(version.term()) + "/" + std::to_string(version.index());
}

nlohmann::json toJson(const wire::Version &version)
{
    return {{"term", version.term()}, {"index", version.index()}};
}

std::string joinNames(const google::protobuf::RepeatedPtrField<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += (text.empty() ? "" : ", ") + name;
    }
    return text.empty() ? "none" : text;
}

/** Cells of one line of a printed table. */
using Cells = std::vector<std::string>;

/** @return the lines, indented, with aligned columns */
std::string alignColumns(const std::vector<Cells> &lines)
{
    std::vector<std::size_t> widths;
    for (const Cells &cells : lines) {
        widths.resize(std::max(widths.size(), cells.size()));
        for (std::size_t i = 0; i < cells.size(); ++i) {
            widths[i] = std::max(widths[i], cells[i].size());
        }
    }
    std::string text;
    for (const Cells &cells : lines) {
        text += ' ';
        for (std::size_t i = 0; i < cells.size(); ++i) {
            text += ' ' + cells[i];
            text.append(i + 1 < cells.size() ? widths[i] - cells[i].size() + 1 : 0, ' ');
        }
        text += '\n';
    }
    return text;
}

std::string hex(std::uint64_t number)
{
    std::array<char, 20> text{};
    const int length = std::snprintf(text.data(), text.size(), "%016lx", static_cast<unsigned long>(number));
    return {text.data(), static_cast<std::size_t>(length)};
}

std::string stateOf(const wire::UpstreamStatus &upstream)
{
    if (!upstream.lease_valid()) {
        return "no lease";
    }
    if (!upstream.upstream().serving()) {
        return "not serving";
    }
    return upstream.marked_out() ? "marked out" : "serving";
}

bool isBehind(const wire::UpstreamStatus &upstream, const wire::Version &version)
{
    const wire::Version &applied = upstream.in_force();
    return std::pair(applied.term(), applied.index()) < std::pair(version.term(), version.index());
}

std::string controlText(const wire::StatusReport &report)
{
    std::vector<Cells> lines;
    for (const wire::Replica &replica : report.membership().replicas()) {
        lines.push_back({replica.id(),
                         replica.voter() ? "voter" : "learner",
                         "raft " + replica.address(),
                         "control " + replica.control_address()});
    }
    return "control: leader " + (report.leader().empty() ? "unknown" : report.leader()) + ", term "
           + std::to_string(report.term()) + ", version " + versionText(report.version()) + "\n" + alignColumns(lines);
}

std::string servicesText(const wire::StatusReport &report)
{
    std::vector<Cells> lines{{"KEYED SERVICE", "SLICES", "NO OWNER", "MOVING"}};
    for (const wire::ServiceStatus &service : report.services()) {
        lines.push_back({service.service(),
                         std::to_string(service.slices()),
                         std::to_string(service.slices_without_owner()),
                         std::to_string(service.slices_moving())});
    }
    return alignColumns(lines);
}

std::string upstreamsSummary(const wire::StatusReport &report)
{
    std::map<std::string, int> byState;
    int behind = 0;
    for (const wire::UpstreamStatus &upstream : report.upstreams()) {
        ++byState[stateOf(upstream)];
        behind += isBehind(upstream, report.visible()) ? 1 : 0;
    }
    std::string text = "upstreams: " + std::to_string(report.upstreams_size());
    for (const auto &[state, count] : byState) {
        text += ", " + std::to_string(count) + " " + state;
    }
    return text + "; " + std::to_string(behind) + " behind version " + versionText(report.visible()) + "\n";
}

std::string conditionOf(const wire::UpstreamInfo &info, const std::map<UpstreamName, std::string> &conditions)
{
    const auto found = conditions.find({info.service(), info.name()});
    return found == conditions.end() || found->second.empty() ? "-" : found->second;
}

std::string upstreamsText(const wire::StatusReport &report, const std::map<UpstreamName, std::string> &conditions)
{
    std::vector<Cells> lines{{"UPSTREAM", "SERVICE", "DOMAIN", "AGENT", "STATE", "CONDITION", "SLICES", "IN FORCE"}};
    int listed = 0;
    for (const wire::UpstreamStatus &upstream : report.upstreams()) {
        const bool isUpToDate = stateOf(upstream) == "serving" && !isBehind(upstream, report.visible());
        if (listed == MaxUpstreamsListed || (isUpToDate && report.upstreams_size() > MaxUpstreamsListed)) {
            continue;
        }
        ++listed;
        const wire::UpstreamInfo &info = upstream.upstream();
        lines.push_back({info.name(),
                         info.service(),
                         info.failure_domain(),
                         info.agent(),
                         stateOf(upstream),
                         conditionOf(info, conditions),
                         std::to_string(upstream.slices()),
                         versionText(upstream.in_force())});
    }
    std::string text = upstreamsSummary(report) + alignColumns(lines);
    if (listed < report.upstreams_size()) {
        text += "  ... " + std::to_string(report.upstreams_size() - listed) + " more; --json lists all\n";
    }
    return text;
}

nlohmann::json upstreamsJson(const wire::StatusReport &report, const std::map<UpstreamName, std::string> &conditions)
{
    nlohmann::json upstreams = nlohmann::json::array();
    for (const wire::UpstreamStatus &upstream : report.upstreams()) {
        const wire::UpstreamInfo &info = upstream.upstream();
        upstreams.push_back({{"name", info.name()},
                             {"service", info.service()},
                             {"failure_domain", info.failure_domain()},
                             {"agent", info.agent()},
                             {"peer_address", info.peer_address()},
                             {"operator_address", info.operator_address()},
                             {"state", stateOf(upstream)},
                             {"condition", conditionOf(info, conditions)},
                             {"slices", upstream.slices()},
                             {"in_force", toJson(upstream.in_force())},
                             {"behind", isBehind(upstream, report.visible())}});
    }
    return upstreams;
}

nlohmann::json toJson(const wire::StatusReport &report, const std::map<UpstreamName, std::string> &conditions)
{
    nlohmann::json members = nlohmann::json::array();
    for (const wire::Replica &replica : report.membership().replicas()) {
        members.push_back({{"id", replica.id()},
                           {"voter", replica.voter()},
                           {"address", replica.address()},
                           {"control_address", replica.control_address()}});
    }
    nlohmann::json services = nlohmann::json::array();
    for (const wire::ServiceStatus &service : report.services()) {
        services.push_back({{"service", service.service()},
                            {"slices", service.slices()},
                            {"slices_without_owner", service.slices_without_owner()},
                            {"slices_moving", service.slices_moving()}});
    }
    nlohmann::json quarantined = nlohmann::json::array();
    for (const std::uint64_t fingerprint : report.quarantined()) {
        quarantined.push_back(hex(fingerprint));
    }
    return {{"leader", report.leader()},
            {"term", report.term()},
            {"version", toJson(report.version())},
            {"visible_version", toJson(report.visible())},
            {"table_version", report.table_version()},
            {"members", members},
            {"failure_domains_out", report.failure_domains_out()},
            {"upstreams_out", report.upstreams_out()},
            {"services", services},
            {"upstreams", upstreamsJson(report, conditions)},
            {"quarantined", quarantined}};
}

} // namespace

int runStatus(const Values &values, Context &context)
{
    wire::OperatorRequest request;
    request.mutable_get_status();
    const wire::OperatorReply reply = sendRequest(request, values, context);
    Answer answer = toAnswer(reply);
    if (answer.exitCode == ExitDone) {
        const wire::StatusReport &report = reply.report();
        const std::map<UpstreamName, std::string> conditions = fetchConditions(report, context);
        answer.details = toJson(report, conditions);
        answer.text = controlText(report) + "table: version " + std::to_string(report.table_version())
                      + "; out of service: failure domains " + joinNames(report.failure_domains_out()) + "; upstreams "
                      + joinNames(report.upstreams_out()) + "\n" + servicesText(report)
                      + upstreamsText(report, conditions)
                      + "quarantined requests: " + std::to_string(report.quarantined_size()) + "\n";
    }
    return print(answer, values, context);
}

int runOwner(const Values &values, Context &context)
{
    wire::OperatorRequest request;
    request.mutable_get_owner()->set_service(values.arguments()[0]);
    request.mutable_get_owner()->set_key(values.arguments()[1]);
    const wire::OperatorReply reply = sendRequest(request, values, context);
    Answer answer = toAnswer(reply);
    if (answer.exitCode != ExitDone) {
        return print(answer, values, context);
    }
    const wire::OwnerReport &owner = reply.owner();
    const bool isOwned = owner.slice().owner() != 0;
    answer.details["hash"] = hex(owner.hash());
    answer.details["slice_begin"] = hex(owner.slice().begin());
    answer.details["epoch"] = owner.slice().epoch();
    answer.details["owned"] = isOwned;
    answer.text = "hash " + hex(owner.hash()) + ", slice from " + hex(owner.slice().begin()) + ", epoch "
                  + std::to_string(owner.slice().epoch()) + ": ";
    if (!isOwned) {
        answer.text += "no owner\n";
        return print(answer, values, context);
    }
    const wire::UpstreamInfo &info = owner.upstream();
    answer.details["upstream"] = info.name();
    answer.details["agent"] = info.agent();
    answer.details["failure_domain"] = info.failure_domain();
    answer.details["peer_address"] = info.peer_address();
    answer.text +=
        info.name() + " in " + info.failure_domain() + ", agent " + info.agent() + " at " + info.peer_address() + "\n";
    return print(answer, values, context);
}

} // namespace bergamotweir::cli
