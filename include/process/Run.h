#pragma once

namespace bergamotweir::process {

struct AgentSettings;
struct ControlSettings;

/**
 * Runs an agent until SIGTERM or SIGINT has been handled.
 * @return exit code of the process: 0 after a graceful stop, 1 when it could not start or continue
 */
int runAgent(const AgentSettings &settings);

/**
 * Runs a control replica until SIGTERM or SIGINT has been handled.
 * @return exit code of the process: 0 after a graceful stop, 1 when it could not start or continue
 */
int runControl(const ControlSettings &settings);

} // namespace bergamotweir::process
