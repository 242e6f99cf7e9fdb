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

/** Callbacks of a ControlService; all run on the loop's thread. */
struct ControlServiceEvents {
    /** A session was opened; its first message was a Hello. */
    std::function<void(std::uint64_t session, const wire::Hello &)> opened;
    std::function<void(std::uint64_t session, const wire::AgentMessage &)> message;
    /** An opened session ended, closed by either side. */
    std::function<void(std::uint64_t session)> closed;
    /** The handler must answer exactly once, on the loop's thread. */
    std::function<void(const wire::ClaimRequest &, std::function<void(wire::ClaimReply)>)> claim;
    std::function<void(const wire::ClaimOutcome &, std::function<void(wire::OutcomeReply)>)> recordOutcome;
    std::function<void(const wire::OperatorRequest &, std::function<void(wire::OperatorReply)>)> operate;
};

/**
 * The endpoint of a control replica: one port for the sessions and claims of agents, which are frames, and for
 * operators, who use gRPC. Owned by the control process; used on the loop's thread. Memory is bounded: a session's next
 * message is read only after the previous one has been handled, and the session of an agent that does not read its
 * messages is closed.
 */
class ControlService
{
public:
    /**
     * Starts to listen.
     * @param loop outlives the service
     * @param address IP address to bind to
     * @param port TCP port; 0 lets the kernel choose one
     * @return the service, or the reason why it could not listen
     */
    static Result<std::unique_ptr<ControlService>>
    listen(loop::EventLoop &loop, const std::string &address, std::uint16_t port, ControlServiceEvents events);

    /** Ends all sessions and calls; no callback runs after this. */
    ~ControlService();
    ControlService(const ControlService &) = delete;
    ControlService &operator=(const ControlService &) = delete;

    /** @return the TCP port that the service listens on */
    std::uint16_t port() const;

    /** Queues a message on a session, in order; does nothing if the session has ended. */
    void send(std::uint64_t session, const std::shared_ptr<const wire::ControlMessage> &message);

    /** Ends a session; the agent may begin another on the same connection. Does nothing if the session has ended. */
    void close(std::uint64_t session);

private:
    struct Parts;
    explicit ControlService(std::unique_ptr<Parts> parts);
    std::unique_ptr<Parts> parts;
};

} // namespace bergamotweir::rpc
