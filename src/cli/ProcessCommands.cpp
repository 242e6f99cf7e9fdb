#include "Commands.h"
#include "ProcessSettings.h"
#include "cli/Command.h"
#include "cli/Context.h"
#include "loop/Log.h"
#include "process/Run.h"

#include <ostream>

namespace bergamotweir::cli {

int runAgentCommand(const Values &values, Context &context)
{
    const Result<process::AgentSettings> settings = toAgentSettings(values);
    if (!settings) {
        context.err << toText(settings.error());
        return ExitBadInput;
    }
    loop::startLogging(settings.value().logLevel);
    return process::runAgent(settings.value());
}

int runControlCommand(const Values &values, Context &context)
{
    const Result<process::ControlSettings> settings = toControlSettings(values);
    if (!settings) {
        context.err << toText(settings.error());
        return ExitBadInput;
    }
    loop::startLogging(settings.value().logLevel);
    return process::runControl(settings.value());
}

} // namespace bergamotweir::cli
