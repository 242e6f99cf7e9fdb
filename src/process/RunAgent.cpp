#include "loop/Log.h"
#include "process/AgentProcess.h"
#include "process/Run.h"

#include <csignal>

namespace bergamotweir::process {

int runAgent(const AgentSettings &settings)
{
    constexpr loop::Log Log("agent");
    auto loop = loop::EventLoop::create();
    if (!loop) {
        Log.error(loop.error());
        return 1;
    }
    auto process = AgentProcess::open(*loop.value(), settings);
    if (!process) {
        Log.error(process.error());
        return 1;
    }
    for (const int signal : {SIGTERM, SIGINT}) {
        loop.value()->onSignal(signal, [&process] {
            process.value()->stop();
        });
    }
    // Settings in force come from control; the settings file is read only at start.
    loop.value()->onSignal(SIGHUP, [&] {
        Log.info("SIGHUP: changes of the settings file count from the next start");
    });
    loop.value()->run();
    process.value().reset();
    Log.info("ended");
    return 0;
}

} // namespace bergamotweir::process
