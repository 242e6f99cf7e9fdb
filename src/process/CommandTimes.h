#pragma once

#include "process/ReplicaNode.h"

#include <control.pb.h>

#include <cstdint>
#include <string>

namespace bergamotweir::process {

/** @return the wall-clock time in ms since the Unix epoch, for commands in the log */
std::uint64_t unixMilliseconds();

/** Replaces the sender's times by the leader's: the clocks of replicas and agents may be wrong. */
void stamp(wire::Command &command);

/** @return the result of applying a proposal; empty when it was not applied */
wire::CommandResult resultOf(const ProposeResult &result);

/** @return IP:port */
std::string endpoint(const std::string &address, std::uint16_t port);

} // namespace bergamotweir::process
