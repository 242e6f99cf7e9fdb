#include "Answer.h"
#include "Commands.h"
#include "ProcessSettings.h"
#include "cli/Command.h"
#include "cli/ValueKinds.h"

namespace bergamotweir::cli {

namespace {

std::vector<Setting> with(std::vector<Setting> settings, const Setting &added)
{
    settings.insert(settings.begin(), added);
    return settings;
}

std::vector<Command> processCommands()
{
    return {
        {.name = "control",
         .summary = "Runs a control replica, which holds the durable state.",
         .arguments = {},
         .settings = controlSettings(),
         .example = "bergamotweir control --replica-id c1 --address 127.0.0.1 --raft-port 7101 --control-port 7001 "
                    "--data-folder data-c1 "
                    "--replicas c1=127.0.0.1:7101/7001,c2=127.0.0.1:7102/7002,c3=127.0.0.1:7103/7003",
         .run = runControlCommand},
        {.name = "agent",
         .summary = "Runs the agent beside an upstream.",
         .arguments = {},
         .settings = agentSettings(),
         .example = "bergamotweir agent --agent-name a1 --failure-domain bne-a --address 127.0.0.1 --caller-port 8001 "
                    "--peer-port 8101 --announce-port 8201 --operator-port 8301 "
                    "--control 127.0.0.1:7001,127.0.0.1:7002,127.0.0.1:7003",
         .run = runAgentCommand},
        {.name = "platform control",
         .summary = "Runs a control replica on the users' machines, with the settings file that they write.",
         .arguments = {},
         .settings = platformSettings(),
         .example = "bergamotweir platform control --node-file /etc/bergamotweir/local.conf",
         .run = runPlatformControlCommand},
        {.name = "platform agent",
         .summary = "Runs the agent beside an upstream on the users' machines, with the settings file that they write.",
         .arguments = {},
         .settings = platformSettings(),
         .example = "bergamotweir platform agent --node-file /etc/bergamotweir/local.conf",
         .run = runPlatformAgentCommand},
    };
}

std::vector<Command> logCommands()
{
    return {
        {.name = "trace",
         .summary = "Prints the way of a request across processes, from their logs, with what decided it.",
         .arguments = {{&NameKind, "the request's id"}, {&PathKind, "log files"}},
         .settings = {jsonSetting()},
         .example = "bergamotweir trace 9c41d07be2a35f68 agent-1.log agent-2.log control-1.log",
         .run = runTrace,
         .lastArgumentRepeats = true},
    };
}

std::vector<Command> tableCommands()
{
    return {
        {.name = "table check",
         .summary = "Checks a table file; asks no other process.",
         .arguments = {{&PathKind, "the table file"}},
         .settings = {jsonSetting()},
         .example = "bergamotweir table check table.csv",
         .run = runTableCheck},
        {.name = "table get",
         .summary = "Prints the table in force, or an older version.",
         .arguments = {},
         .settings =
             with(requestSettings(), {"version", &NumberKind, "Table version; 0 is the one in force.", false, "0"}),
         .example = "bergamotweir table get --control 127.0.0.1:7001 > table.csv",
         .run = runTableGet},
        {.name = "table put",
         .summary = "Puts a table in force.",
         .arguments = {{&PathKind, "the table file"}},
         .settings = with(changeSettings(),
                          {"base", &BaseKind, "Version that was edited; current takes the one in force.", true}),
         .example = "bergamotweir table put table.csv --base 7 --wait 5 --control 127.0.0.1:7001",
         .run = runTablePut},
        {.name = "table history",
         .summary = "Lists the latest changes of table and marks.",
         .arguments = {},
         .settings = with(requestSettings(), {"most", &NumberKind, "Most changes to list.", false, "20"}),
         .example = "bergamotweir table history --most 5 --control 127.0.0.1:7001",
         .run = runTableHistory},
    };
}

std::vector<Command> operatorCommands()
{
    const std::vector<Argument> marked = {{&MarkKindKind, "what to mark"}, {&NameKind, "its name"}};
    return {
        {.name = "mark in",
         .summary = "Brings a failure domain or an upstream back into service.",
         .arguments = marked,
         .settings = changeSettings(),
         .example = "bergamotweir mark in failure-domain bne-a --wait 5 --control 127.0.0.1:7001",
         .run = runMarkIn},
        {.name = "mark out",
         .summary = "Takes a failure domain or an upstream out of service.",
         .arguments = marked,
         .settings = changeSettings(),
         .example = "bergamotweir mark out failure-domain bne-a --wait 5 --control 127.0.0.1:7001",
         .run = runMarkOut},
        {.name = "status",
         .summary = "Shows on one screen what is in force where.",
         .arguments = {},
         .settings = requestSettings(),
         .example = "bergamotweir status --control 127.0.0.1:7001,127.0.0.1:7002,127.0.0.1:7003",
         .run = runStatus},
        {.name = "owner",
         .summary = "Tells which upstream owns a key, and under which epoch.",
         .arguments = {{&NameKind, "the service"}, {&TextKind, "the key"}},
         .settings = requestSettings(),
         .example = "bergamotweir owner catalogue class-4711 --control 127.0.0.1:7001",
         .run = runOwner},
        {.name = "report burn",
         .summary = "Collects from every agent what burns the error budgets.",
         .arguments = {},
         .settings = requestSettings(),
         .example = "bergamotweir report burn --control 127.0.0.1:7001",
         .run = runReportBurn},
    };
}

std::vector<Command> memberCommands()
{
    const Argument id{&NameKind, "id of the replica"};
    return {
        {.name = "member add",
         .summary = "Takes a replica into the control group as a learner.",
         .arguments = {id, {&ReplicaAddressKind, "where it is reached"}},
         .settings = requestSettings(),
         .example = "bergamotweir member add c4 127.0.0.1:7104/7004 --control 127.0.0.1:7001",
         .run = runMemberAdd},
        {.name = "member promote",
         .summary = "Makes a learner that has caught up a voter.",
         .arguments = {id},
         .settings = requestSettings(),
         .example = "bergamotweir member promote c4 --control 127.0.0.1:7001",
         .run = runMemberPromote},
        {.name = "member remove",
         .summary = "Removes a replica from the control group for good.",
         .arguments = {id},
         .settings = requestSettings(),
         .example = "bergamotweir member remove c2 --control 127.0.0.1:7001",
         .run = runMemberRemove},
        {.name = "member list",
         .summary = "Lists the replicas of the control group.",
         .arguments = {},
         .settings = requestSettings(),
         .example = "bergamotweir member list --control 127.0.0.1:7001",
         .run = runMemberList},
    };
}

std::vector<Command> makeCommands()
{
    std::vector<Command> all;
    for (std::vector<Command> group :
         {processCommands(), tableCommands(), operatorCommands(), memberCommands(), logCommands()}) {
        all.insert(all.end(), group.begin(), group.end());
    }
    return all;
}

} // namespace

const std::vector<Command> &allCommands()
{
    static const std::vector<Command> all = makeCommands();
    return all;
}

} // namespace bergamotweir::cli
