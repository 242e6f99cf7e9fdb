#include "Commands.h"
#include "ProcessSettings.h"
#include "cli/Command.h"
#include "cli/Context.h"
#include "cli/Values.h"
#include "loop/Log.h"
#include "platform/Settings.h"
#include "process/Run.h"

#include <fstream>
#include <ostream>
#include <sstream>

namespace bergamotweir::cli {

namespace {

/** @return the settings in the file written by the machine's owner, or every finding about the file */
template<typename Settings>
Result<Settings> readNodeFile(const Values &values, Result<Settings> (*read)(const std::string &))
{
    const std::string path = values.text("node-file");
    std::ifstream file(path);
    if (!file) {
        return oneFinding(values.place("node-file"), path + " can't be read", "the path of the settings file");
    }
    std::stringstream text;
    text << file.rdbuf();
    return read(text.str());
}

} // namespace

int runAgentCommand(const Values &values, Context &context)
{
    const Result<process::AgentSettings> settings = toAgentSettings(values);
    if (!settings) {
        context.err << toText(settings.error());
        return ExitBadInput;
    }
    loop::startLogging(settings.value().logLevel, settings.value().agentName);
    return process::runAgent(settings.value());
}

int runControlCommand(const Values &values, Context &context)
{
    const Result<process::ControlSettings> settings = toControlSettings(values);
    if (!settings) {
        context.err << toText(settings.error());
        return ExitBadInput;
    }
    loop::startLogging(settings.value().logLevel, settings.value().replicaId);
    return process::runControl(settings.value());
}

int runPlatformAgentCommand(const Values &values, Context &context)
{
    Result<process::AgentSettings> settings = readNodeFile<process::AgentSettings>(values, platform::readAgentSettings);
    if (!settings) {
        context.err << toText(settings.error());
        return ExitBadInput;
    }
    settings.value().logLevel = values.text("log-level");
    loop::startLogging(settings.value().logLevel, settings.value().agentName);
    return process::runAgent(settings.value());
}

int runPlatformControlCommand(const Values &values, Context &context)
{
    Result<process::ControlSettings> settings =
        readNodeFile<process::ControlSettings>(values, platform::readControlSettings);
    if (!settings) {
        context.err << toText(settings.error());
        return ExitBadInput;
    }
    settings.value().logLevel = values.text("log-level");
    loop::startLogging(settings.value().logLevel, settings.value().vmName);
    return process::runControl(settings.value());
}

} // namespace bergamotweir::cli
