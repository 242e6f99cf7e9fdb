#include "process/AgentSettings.h"
#include "process/Run.h"

#include <iostream>

namespace bergamotweir::process {

int runAgent(const AgentSettings &settings)
{
    std::cerr << "agent " << settings.agentName << ": not built yet\n";
    return 1;
}

} // namespace bergamotweir::process
