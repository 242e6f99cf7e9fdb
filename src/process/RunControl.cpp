#include "loop/EventLoop.h"
#include "loop/Log.h"
#include "process/ControlProcess.h"
#include "process/Run.h"

#include <csignal>

namespace bergamotweir::process {

namespace {

constexpr loop::Log Log("control");

} // namespace

int runControl(const ControlSettings &settings)
{
    loop::startLogging(settings.logLevel, settings.vmName.empty() ? settings.replicaId : settings.vmName);
    Result<std::unique_ptr<loop::EventLoop>> created = loop::EventLoop::create();
    if (!created) {
        Log.error(created.error());
        return 1;
    }
    const std::unique_ptr<loop::EventLoop> loop = std::move(created).value();
    int exitCode = 0;
    Result<std::unique_ptr<ControlProcess>> started = ControlProcess::start(*loop, settings, [&] {
        exitCode = 1;
        loop->stop();
    });
    if (!started) {
        Log.error(started.error());
        return 1;
    }
    const auto stop = [&] {
        started.value()->stop([&] {
            loop->stop();
        });
    };
    loop->onSignal(SIGTERM, stop);
    loop->onSignal(SIGINT, stop);
    loop->onSignal(SIGHUP, [] {
        Log.info("SIGHUP received; changed settings count from the next start");
    });
    loop->run();
    return exitCode;
}

} // namespace bergamotweir::process
