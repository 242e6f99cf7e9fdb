#include "process/AgentProcess.h"
#include "process/Run.h"

#include <log4cplus/loggingmacros.h>

#include <csignal>

namespace bergamotweir::process {

int runAgent(const AgentSettings &settings)
{
    const log4cplus::Logger logger = log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("agent"));
    auto loop = loop::EventLoop::create();
    if (!loop) {
        LOG4CPLUS_ERROR(logger, toText(loop.error()));
        return 1;
    }
    auto process = AgentProcess::open(*loop.value(), settings);
    if (!process) {
        LOG4CPLUS_ERROR(logger, toText(process.error()));
        return 1;
    }
    for (const int signal : {SIGTERM, SIGINT}) {
        loop.value()->onSignal(signal, [&process] {
            process.value()->stop();
        });
    }
    loop.value()->run();
    return 0;
}

} // namespace bergamotweir::process
