#pragma once

#include "base/Result.h"
#include "control.pb.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bergamotweir::loop {
class EventLoop;
}

namespace bergamotweir::rpc {

/** Who handles what a ControlService receives; all called on the loop's thread. */
struct ControlServiceEvents {
    /** A session whose first message was a Hello. */
    std::function<void(std::uint64_t session, const wire::Hello &)> opened;
    std::function<void(std::uint64_t session, const wire::AgentMessage &)> message;
    /** An opened session ended, whoever ended it. */
    std::function<void(std::uint64_t session)> closed;
    /** The answer is given exactly once, on the loop's thread. */
    std::function<void(const wire::ClaimRequest &, std::function<void(wire::ClaimReply)>)> claim;
    std::function<void(const wire::ClaimOutcome &, std::function<void(wire::OutcomeReply)>)> recordOutcome;
    std::function<void(const wire::OperatorRequest &, std::function<void(wire::OperatorReply)>)> operate;
};

/**
 * The gRPC endpoint of a control replica, for agents and operators.
 * Owned by the control process. gRPC's own threads only hand over to the loop. Bounded: one message of a session is
 * handled before the next is read, and an agent that doesn't read what is sent to it loses its session.
 */
class ControlService
{
public:
    /**
     * Listens.
     * @param loop outlives the service
     * @param address IP to bind
     * @param port TCP port, 0 for the kernel's choice
     * @return the service, or why it could not listen
     */
    static Result<std::unique_ptr<ControlService>>
    listen(loop::EventLoop &loop, const std::string &address, std::uint16_t port, ControlServiceEvents events);

    /** Ends every session and call. No event is called any more. */
    ~ControlService();
    ControlService(const ControlService &) = delete;
    ControlService &operator=(const ControlService &) = delete;

    /** @return the port bound to */
    std::uint16_t port() const;

    /** Sends on a session, in order; one that has ended is ignored. */
    void send(std::uint64_t session, const std::shared_ptr<const wire::ControlMessage> &message);

    /** Ends a session once everything sent before has been written; one that has ended is ignored. */
    void close(std::uint64_t session);

private:
    struct Parts;
    explicit ControlService(std::shared_ptr<Parts> parts);
    std::shared_ptr<Parts> parts;
};

} // namespace bergamotweir::rpc
