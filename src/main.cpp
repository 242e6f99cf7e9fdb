#include "cli/Context.h"
#include "cli/Run.h"

#include <cstdio>
#include <cstdlib>
#include <iostream>

int main(int count, char **words)
{
    bergamotweir::cli::Context context = bergamotweir::cli::processContext();
    const int code = bergamotweir::cli::run({words + 1, words + count}, context);
    std::cout.flush();
    std::cerr.flush();
    std::fflush(nullptr);
    // Guards against processes that have ended all their work and don't go away: the clean-up that libraries register
    // for the end of a process waits for their own threads, which on machines with a fraction of a core kept 12 of 14
    // stopped agents there until they were killed. Everything that must survive was synced before; nothing else is left
    // to do.
    std::_Exit(code);
}
