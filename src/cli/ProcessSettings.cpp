#include "ProcessSettings.h"

#include "ReplicaList.h"
#include "cli/ValueKinds.h"
#include "cli/Values.h"

#include <map>

namespace bergamotweir::cli {

namespace {

constexpr Setting AddressSetting{"address", &IpAddressKind, "IP to bind and to be reached at.", true};
constexpr Setting OperatorPortSetting{"operator-port",
                                      &PortKind,
                                      "Port of /healthz and /metrics, and of /burn at an agent; 0 takes a free one.",
                                      false,
                                      "0"};
constexpr Setting LogLevelSetting{"log-level", &LogLevelKind, "Least level that is logged.", false, "info"};
constexpr Setting SeedSetting{"seed", &NumberKind, "Seed of all randomness; 0 takes one.", false, "0"};

std::uint16_t port(const Values &values, std::string_view setting)
{
    return static_cast<std::uint16_t>(values.number(setting));
}

/** Finds two endpoints on one port: binding the second one would fail, but only when the process starts. */
void checkPortsDiffer(const Values &values, const std::vector<std::string> &settings, Findings &findings)
{
    std::map<std::uint64_t, std::string> settingByPort;
    for (const std::string &setting : settings) {
        const std::uint64_t number = values.number(setting);
        if (number == 0) {
            continue;
        }
        const auto [entry, isNew] = settingByPort.emplace(number, setting);
        if (!isNew) {
            findings.push_back(
                {values.place(setting), "is the same port as --" + entry->second, "a port of its own for each"});
        }
    }
}

} // namespace

std::vector<Setting> agentSettings()
{
    return {
        {"agent-name", &NameKind, "Name of the agent, unique in the deployment.", true},
        {"failure-domain", &NameKind, "Failure domain of this VM.", true},
        AddressSetting,
        {"caller-port", &PortKind, "Port for callers; 0 takes a free one.", false, "0"},
        {"peer-port", &PortKind, "Port for requests forwarded by other agents; 0 takes a free one.", false, "0"},
        {"announce-port", &PortKind, "Loopback port that the upstream announces itself at.", false, "0"},
        OperatorPortSetting,
        {"control", &EndpointsKind, "Control endpoints of the control replicas.", true},
        LogLevelSetting,
        SeedSetting,
    };
}

std::vector<Setting> controlSettings()
{
    return {
        {"replica-id", &NameKind, "Id of the replica, unique in the control group and never used again.", true},
        AddressSetting,
        {"raft-port", &PortKind, "Port for the other replicas.", true},
        {"control-port", &PortKind, "Port for agents and operators.", true},
        OperatorPortSetting,
        {"data-folder", &PathKind, "Folder of the durable state; made when missing.", true},
        {"replicas", &ReplicasKind, "The first members, the same list on each of them. Left out with --join."},
        {"join", nullptr, "Wait until \"member add\" takes this replica into a running group."},
        LogLevelSetting,
        SeedSetting,
    };
}

std::vector<Setting> platformSettings()
{
    return {
        {"node-file", &PathKind, "Settings file that the machine's owner writes.", true},
        LogLevelSetting,
    };
}

Result<process::AgentSettings> toAgentSettings(const Values &values)
{
    Findings findings;
    checkPortsDiffer(values, {"caller-port", "peer-port", "announce-port", "operator-port"}, findings);
    if (!findings.empty()) {
        return findings;
    }
    return process::AgentSettings{
        .agentName = values.text("agent-name"),
        .failureDomain = values.text("failure-domain"),
        .address = values.text("address"),
        .callerPort = port(values, "caller-port"),
        .peerPort = port(values, "peer-port"),
        .announcePort = port(values, "announce-port"),
        .operatorPort = port(values, "operator-port"),
        .controls = values.list("control"),
        .logLevel = values.text("log-level"),
        .seed = values.number("seed"),
        .service = {},
        .upstreamAddress = {},
    };
}

Result<process::ControlSettings> toControlSettings(const Values &values)
{
    Findings findings;
    checkPortsDiffer(values, {"raft-port", "control-port", "operator-port"}, findings);
    process::ControlSettings settings{
        .replicaId = values.text("replica-id"),
        .address = values.text("address"),
        .raftPort = port(values, "raft-port"),
        .controlPort = port(values, "control-port"),
        .operatorPort = port(values, "operator-port"),
        .dataFolder = values.text("data-folder"),
        .initial = readReplicas(values.text("replicas")).value_or(wire::Membership()),
        .join = values.isOn("join"),
        .logLevel = values.text("log-level"),
        .seed = values.number("seed"),
        .group = {},
        .raft = {},
        .coordinator = {},
    };
    bool isListed = false;
    for (const wire::Replica &replica : settings.initial.replicas()) {
        isListed = isListed || replica.id() == settings.replicaId;
    }
    if (settings.join == values.isSet("replicas")) {
        findings.push_back({values.place("replicas"),
                            settings.join ? "is given together with --join" : "is missing, and so is --join",
                            "one of the two"});
    } else if (!settings.join && !isListed) {
        findings.push_back({values.place("replicas"),
                            "doesn't name this replica, " + settings.replicaId,
                            "a list with all the first members, or --join"});
    }
    for (const char *required : {"raft-port", "control-port"}) {
        if (values.number(required) == 0) {
            findings.push_back(
                {values.place(required), "0 is no port that others can know", "the port of the membership"});
        }
    }
    if (!findings.empty()) {
        return findings;
    }
    return settings;
}

} // namespace bergamotweir::cli
