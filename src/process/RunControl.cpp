#include "process/ControlSettings.h"
#include "process/Run.h"

#include <iostream>

namespace bergamotweir::process {

int runControl(const ControlSettings &settings)
{
    std::cerr << "control " << settings.replicaId << ": not built yet\n";
    return 1;
}

} // namespace bergamotweir::process
