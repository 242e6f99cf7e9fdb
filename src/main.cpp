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
    // Skips the exit handlers of libraries: they wait for the libraries' own threads, and on VMs with a fraction of a
    // core 12 of 14 stopped agents hung there until they were killed. All durable state has been synced before, so
    // nothing else remains to be done.
    std::_Exit(code);
}
