#pragma once

#include "base/Result.h"
#include "cli/Setting.h"
#include "process/AgentSettings.h"
#include "process/ControlSettings.h"

#include <vector>

namespace bergamotweir::cli {

class Values;

/** @return the settings that "bergamotweir agent" knows */
std::vector<Setting> agentSettings();

/** @return the settings that "bergamotweir control" knows */
std::vector<Setting> controlSettings();

/** @return settings of the processes on the users' machines */
std::vector<Setting> platformSettings();

/** @return the agent's settings, or what contradicts each other in them */
Result<process::AgentSettings> toAgentSettings(const Values &values);

/** @return the replica's settings, or what contradicts each other in them */
Result<process::ControlSettings> toControlSettings(const Values &values);

} // namespace bergamotweir::cli
