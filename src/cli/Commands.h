#pragma once

namespace bergamotweir::cli {

class Values;
struct Context;

// Each function runs one subcommand and returns an ExitCode. AllCommands.cpp lists the subcommands.
int runAgentCommand(const Values &values, Context &context);
int runControlCommand(const Values &values, Context &context);
int runTrace(const Values &values, Context &context);
int runPlatformAgentCommand(const Values &values, Context &context);
int runPlatformControlCommand(const Values &values, Context &context);
int runTableCheck(const Values &values, Context &context);
int runTableGet(const Values &values, Context &context);
int runTablePut(const Values &values, Context &context);
int runTableHistory(const Values &values, Context &context);
int runMarkIn(const Values &values, Context &context);
int runMarkOut(const Values &values, Context &context);
int runStatus(const Values &values, Context &context);
int runOwner(const Values &values, Context &context);
int runReportBurn(const Values &values, Context &context);
int runMemberAdd(const Values &values, Context &context);
int runMemberRemove(const Values &values, Context &context);
int runMemberPromote(const Values &values, Context &context);
int runMemberList(const Values &values, Context &context);

} // namespace bergamotweir::cli
