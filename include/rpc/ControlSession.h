#pragma once

#include "base/Backoff.h"
#include "base/BootClock.h"
#include "control.grpc.pb.h"
#include "loop/EventLoop.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bergamotweir::rpc {

class ReplicaConnections;

/** Counts the sessions of one agent process; a message of an older session means nothing. */
using SessionId = std::uint64_t;

/** Callbacks of a ControlSession; all run on the loop's thread. */
struct ControlSessionEvents {
    /** Makes the first message of a new session. */
    std::function<wire::Hello()> hello;
    /** A session with a replica that has not redirected has begun and said something. */
    std::function<void(SessionId)> opened;
    /** A message of the open session; redirects are not passed on. */
    std::function<void(SessionId, wire::ControlMessage)> message;
    /** The open session ended; another one is already being sought. */
    std::function<void(SessionId)> closed;
};

/** How patient a ControlSession is. */
struct ControlSessionTimeouts {
    /** A replica that says nothing for so long is left: it may be frozen or behind a silent partition. */
    std::chrono::milliseconds silenceTimeout{200};
    /**
     * A replica that hasn't answered at all within so long is left: the next one may be the leader. Grows with each
     * one in a row: where all are that slow, leaving sooner would only add to their work. Longer where setting up
     * the connection took long, as an answer then takes as long.
     */
    BackoffSettings openTimeout{std::chrono::milliseconds(500), std::chrono::milliseconds(4000)};
    /**
     * Pause before the next replica is tried. At its longest, 80 agents ask each of 5 replicas about 100 times a second
     * while there is no leader.
     */
    BackoffSettings retryBackoff{std::chrono::milliseconds(25), std::chrono::milliseconds(200)};
    /** Longest silence of a leader that has accepted the session and owes the full state, after failures in a row. */
    std::chrono::milliseconds maxSilence{8000};
    /** A replica that fell silent is not returned to for so long, even when another one names it the leader. */
    std::chrono::milliseconds avoidFor{500};
    /** Spreads the pauses of many agents. */
    std::uint64_t seed = 0;
};

/**
 * An agent's stream to the leader of the control group: finds it, keeps the stream, finds the next one.
 * Owned by the agent process; used on the loop's thread.
 */
class ControlSession
{
public:
    /**
     * Starts to look for the leader.
     * @param loop outlives the session
     * @param addresses IP:port of the control replicas, at least one
     * @param events what to call
     * @param timeouts how long to wait for what
     */
    ControlSession(loop::EventLoop &loop,
                   std::vector<std::string> addresses,
                   ControlSessionEvents events,
                   ControlSessionTimeouts timeouts = {});

    /** Ends the stream without calling closed(). */
    ~ControlSession();
    ControlSession(const ControlSession &) = delete;
    ControlSession &operator=(const ControlSession &) = delete;

    /**
     * Sends on the present stream, in order; dropped when there is none, so state must be sent again on opened().
     * @param message anything but a Hello
     */
    void send(const wire::AgentMessage &message);

    /** Looks for the leader at these addresses as well, as those known from the start may be gone one day. */
    void addAddresses(const std::vector<std::string> &replicas);

    /** @return whether a replica that takes sessions has answered on the present stream */
    bool isOpen() const;

private:
    class Stream;
    void seek();
    void follow(const std::string &leader);
    std::shared_ptr<wire::Control::Stub> chooseReady(BootTime now);
    void connect(const std::string &address, std::shared_ptr<wire::Control::Stub> stub);
    std::chrono::nanoseconds currentOpenTimeout() const;
    void received(SessionId session, wire::ControlMessage message);
    void streamEnded(SessionId session);
    void ended(SessionId session);
    void logDisconnect(const char *why) const;
    void freeEndedStreams();
    void disconnect();
    void checkSilence();
    std::chrono::milliseconds maxSilence() const;
    void checkOpening(SessionId session);
    bool isAvoided(const std::string &address) const;

    loop::EventLoop &loop;
    std::vector<std::string> addresses;
    ControlSessionEvents events;
    ControlSessionTimeouts timeouts;
    /** Those of all replicas while a session is sought, then the session's own; a stream holds on to its own. */
    std::unique_ptr<ReplicaConnections> connections;
    std::unique_ptr<Stream> stream;
    /** Cancelled streams that gRPC has not finished with. */
    std::vector<std::unique_ptr<Stream>> leaving;
    SessionId session = 0;
    /** The leader took the session and has sent nothing else yet. */
    bool accepted = false;
    bool opened = false;
    /** Sessions in a row that never opened. */
    unsigned failures = 0;
    /** Replicas asked in a row that did not answer at all. */
    unsigned unanswered = 0;
    pcg32 random;
    /** Where the search begins: spreads agents over the replicas. */
    std::size_t firstAddress = 0;
    /** When each replica was asked for a session last. */
    std::map<std::string, BootTime> askedAt;
    /** When the last stream was left. */
    BootTime leftAt{};
    std::string currentAddress;
    /** The leader by the last redirect; empty once it was asked. */
    std::string namedLeader;
    std::string avoidedAddress;
    BootTime avoidedUntil{};
    BootTime lastHeard{};
    /** When the present replica was asked for a session. */
    BootTime searchStartedAt{};
    loop::TimerId silenceTimer = 0;
    /** Pause before the next replica is asked, or the next look for a connection that is ready. */
    loop::TimerId seekTimer = 0;
    std::shared_ptr<bool> alive;
};

} // namespace bergamotweir::rpc
