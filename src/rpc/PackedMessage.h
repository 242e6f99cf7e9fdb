#pragma once

#include <control.pb.h>

#include <memory>

namespace bergamotweir::rpc {

/**
 * Compresses a message so that its bytes can be shared by all sessions that it is sent on.
 * @return a message that unpack() turns into @p message, or nullptr when it can't be compressed
 */
std::shared_ptr<const wire::ControlMessage> pack(const wire::ControlMessage &message);

/**
 * Replaces a packed message by what it holds; leaves others as they are.
 * @return false when it can't be read or is larger than a message may be
 */
bool unpack(wire::ControlMessage &message);

} // namespace bergamotweir::rpc
