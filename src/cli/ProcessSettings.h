#pragma once

#include "base/Result.h"
#include "cli/Setting.h"
#include "process/AgentSettings.h"
#include "process/ControlSettings.h"

#include <vector>

namespace bergamotweir::cli {

class Values;

/** @return the settings of "bergamotweir agent" */
std::vector<Setting> agentSettings();

/** @return the settings of "bergamotweir control" */
std::vector<Setting> controlSettings();

/** @return the settings of "bergamotweir platform agent" and "bergamotweir platform control" */
std::vector<Setting> platformSettings();

/** @return the agent's settings, or the contradictions between them */
Result<process::AgentSettings> toAgentSettings(const Values &values);

/** @return the replica's settings, or the contradictions between them */
Result<process::ControlSettings> toControlSettings(const Values &values);

} // namespace bergamotweir::cli
