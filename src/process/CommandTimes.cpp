#include "process/CommandTimes.h"

#include <chrono>

namespace bergamotweir::process {

std::uint64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

void stamp(wire::Command &command)
{
    const std::uint64_t now = unixMilliseconds();
    if (command.has_put_table()) {
        command.mutable_put_table()->set_unix_ms(now);
    } else if (command.has_mark()) {
        command.mutable_mark()->set_unix_ms(now);
    } else if (command.has_claim()) {
        command.mutable_claim()->set_unix_ms(now);
    } else if (command.has_report_crash()) {
        for (wire::CrashSuspect &suspect : *command.mutable_report_crash()->mutable_suspects()) {
            suspect.set_unix_ms(now);
        }
    }
}

wire::CommandResult resultOf(const ProposeResult &result)
{
    wire::CommandResult parsed;
    if (result.kind == ProposeOutcome::Applied) {
        parsed.ParseFromString(result.result);
    }
    return parsed;
}

std::string endpoint(const std::string &address, std::uint16_t port)
{
    return address + ":" + std::to_string(port);
}

} // namespace bergamotweir::process
