#pragma once

namespace bergamotweir::process {

struct AgentSettings;
struct ControlSettings;

/**
 * Runs an agent until SIGTERM or SIGINT has been handled.
 * @return exit code of the process: 0 after an orderly stop, 1 when it could not start or go on
 */
int runAgent(const AgentSettings &settings);

/**
 * Runs a control replica until SIGTERM or SIGINT has been handled.
 * @return exit code of the process: 0 after an orderly stop, 1 when it could not start or go on
 */
int runControl(const ControlSettings &settings);

} // namespace bergamotweir::process
