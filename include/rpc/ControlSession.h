#pragma once

#include "base/Backoff.h"
#include "base/BootClock.h"
#include "control.pb.h"
#include "loop/EventLoop.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotweir::rpc {

class FrameSocket;
class ReplicaConnections;

/** Number of a session of one agent process, in ascending order; messages of older sessions are ignored. */
using SessionId = std::uint64_t;

/** Callbacks of a ControlSession; all run on the loop's thread. */
struct ControlSessionEvents {
    /** Returns the first message of a new session. */
    std::function<wire::Hello()> hello;
    /** A session was opened: the replica has sent a message other than a redirect or the acceptance. */
    std::function<void(SessionId)> opened;
    /** A message arrived on the open session; redirects are not passed on. */
    std::function<void(SessionId, wire::ControlMessage)> message;
    /** The open session ended; the search for the next one follows on its own. */
    std::function<void(SessionId)> closed;
};

/** Time-outs and backoff of a ControlSession. */
struct ControlSessionTimeouts {
    /**
     * Time without any byte after which a session is closed: the replica may be frozen or partitioned. A leader that
     * has accepted the session repeats the acceptance at shorter intervals until it sends the full state.
     */
    std::chrono::milliseconds silenceTimeout{200};
    /**
     * Time without any answer after which the next replica is asked, as it may be the leader. Grows with each
     * consecutive unanswered request: if all replicas are that slow, a shorter time-out would only add to their load.
     * Longer if it took long to set up the connection, as an answer then takes as long.
     */
    BackoffSettings openTimeout{std::chrono::milliseconds(500), std::chrono::milliseconds(4000)};
    /**
     * Backoff before the next replica is asked. At its maximum, 80 agents send each of 5 replicas about 100 requests a
     * second while there is no leader.
     */
    BackoffSettings retryBackoff{std::chrono::milliseconds(25), std::chrono::milliseconds(200)};
    /** Maximum time between the request for a session and the full state. */
    std::chrono::milliseconds stateTimeout{8000};
    /** How long an unresponsive replica is avoided, even if another replica names it as the leader. */
    std::chrono::milliseconds avoidFor{500};
    /** Seed for the jitter that spreads the requests of many agents. */
    std::uint64_t seed = 0;
};

/**
 * Maintains an agent's session with the leader of the control group: finds the leader, opens the session, and searches
 * again when it ends. Owned by the agent process; used on the loop's thread.
 */
class ControlSession
{
public:
    /**
     * Starts to search for the leader.
     * @param loop outlives the session
     * @param addresses IP:port of the control replicas, at least one
     * @param events callbacks
     * @param timeouts time-outs and backoff
     */
    ControlSession(loop::EventLoop &loop,
                   std::vector<std::string> addresses,
                   ControlSessionEvents events,
                   ControlSessionTimeouts timeouts = {});

    /** Ends the session without calling closed(). */
    ~ControlSession();
    ControlSession(const ControlSession &) = delete;
    ControlSession &operator=(const ControlSession &) = delete;

    /**
     * Sends on the current session, in order. Without a session the message is dropped, so state must be sent again on
     * opened().
     * @param message anything but a Hello
     */
    void send(const wire::AgentMessage &message);

    /** Adds addresses to search for the leader, as the initial replicas may have been replaced. */
    void addAddresses(const std::vector<std::string> &replicas);

    /** @return whether the session is open, that is, the leader has answered on the current one */
    bool isOpen() const;

    /** @return when a message from a replica was last handled; the time of creation if none has been */
    BootTime lastMessageAt() const;

private:
    void askNextReplica();
    void followRedirect(const std::string &leader);
    std::vector<std::string> searchedAddresses(BootTime now) const;
    std::shared_ptr<FrameSocket> chooseReady(BootTime now);
    void connect(std::shared_ptr<FrameSocket> replica);
    std::chrono::nanoseconds currentOpenTimeout() const;
    void handleFrame(SessionId session, std::string_view payload);
    void handleMessage(wire::ControlMessage message);
    void handleEnd(bool keepsConnection);
    void logDisconnect(const char *why) const;
    void disconnect(bool keepsConnection);
    void checkSilence();
    BootTime lastByteAt() const;
    bool isSilent(BootTime now) const;
    void checkOpenTimeout(SessionId session);
    bool isAvoided(const std::string &address) const;

    loop::EventLoop &loop;
    std::vector<std::string> addresses;
    ControlSessionEvents events;
    ControlSessionTimeouts timeouts;
    /** Connections to all replicas during the search, then only that of the session. */
    std::unique_ptr<ReplicaConnections> connections;
    /** The connection of the current session; nullptr between sessions. */
    std::shared_ptr<FrameSocket> socket;
    SessionId session = 0;
    /** The leader has accepted the session; the session opens with the leader's next message. */
    bool accepted = false;
    bool opened = false;
    /** Number of consecutive sessions that never opened. */
    unsigned failures = 0;
    /** Number of consecutive requests for a session that got no answer. */
    unsigned unansweredRequests = 0;
    pcg32 random;
    /** Index of the address where the search begins; random, to spread agents over the replicas. */
    std::size_t firstAddress = 0;
    /** When each replica was last asked for a session. */
    std::map<std::string, BootTime> askedAt;
    /** When the last session ended. */
    BootTime disconnectedAt{};
    std::string currentAddress;
    /** Address of the leader according to the last redirect; empty once that replica has been asked. */
    std::string redirectTarget;
    std::string avoidedAddress;
    BootTime avoidedUntil{};
    BootTime lastReceivedAt{};
    /** When a message was last handled; unlike lastReceivedAt, not reset by the next request for a session. */
    BootTime handledMessageAt;
    /** When the current replica was asked for a session. */
    BootTime searchStartedAt{};
    loop::TimerId silenceTimer = 0;
    /** Backoff before the next replica is asked, or interval until the next check for a connection that is ready. */
    loop::TimerId askTimer = 0;
    /** When the search for the leader began. */
    BootTime searchBegunAt;
    std::shared_ptr<bool> alive;
};

} // namespace bergamotweir::rpc
