#pragma once

#include "process/ReplicaNode.h"

#include <control.pb.h>

#include <cstdint>
#include <string>

namespace bergamotweir::process {

/** @return the wall clock, for commands of the log */
std::uint64_t unixMilliseconds();

/** Replaces the times that others claim by the leader's: replicas and agents may have clocks that are off. */
void stamp(wire::Command &command);

/** @return what applying a proposal answered; empty when it wasn't applied */
wire::CommandResult resultOf(const ProposeResult &result);

/** @return IP:port */
std::string endpoint(const std::string &address, std::uint16_t port);

} // namespace bergamotweir::process
