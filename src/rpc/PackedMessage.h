#pragma once

#include <control.pb.h>

#include <memory>

namespace bergamotweir::rpc {

/**
 * Compresses a message; the result can be sent on any number of sessions.
 * @return a message that unpack() turns into @p message, or nullptr if it can't be compressed
 */
std::shared_ptr<const wire::ControlMessage> pack(const wire::ControlMessage &message);

/**
 * Replaces a packed message by its content; leaves other messages unchanged.
 * @return false if it can't be decoded or its content exceeds MaxMessageBytes
 */
bool unpack(wire::ControlMessage &message);

} // namespace bergamotweir::rpc
