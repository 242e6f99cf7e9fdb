#pragma once

#include "agent/Gate.h"
#include "loop/EventLoop.h"
#include "loop/LogEvent.h"
#include "net/HttpClient.h"
#include "process/CallGrants.h"
#include "process/Heartbeat.h"
#include "process/UpstreamProtocol.h"

#include <control.pb.h>

#include <map>
#include <optional>

namespace bergamotweir::process {

struct AgentState;

/** Whether an upstream takes work. */
enum class UpstreamStatus {
    Serving,
    /** Its process ended: nothing is in progress at it. */
    Crashed,
    /** It doesn't answer, but may come back to what it was doing. */
    Frozen
};

/** One request as it is handed to the upstream. */
struct Dispatch {
    net::HttpCall call;
    std::string requestId;
    std::string service;
    bool keyed = false;
    std::uint64_t hash = 0;
    /** Of the slice that the key is in; 0 when the service isn't keyed. */
    std::uint64_t epoch = 0;
    std::uint64_t fingerprint = 0;
    BootTime deadline;
    /** Service of the VM at which the request began. */
    std::string originService;
    std::string workspace;
};

/** What came of it. */
struct DispatchResult {
    AttemptResult attemptResult;
    net::HttpAnswer answer;
};

/** Callbacks of a LocalUpstream. */
struct LocalUpstreamEvents {
    /** Status, incarnation or announcement changed; control has to be informed. */
    std::function<void()> changed;
    std::function<void(const wire::ReportCrash &)> crashed;
    /** Work ended; a revoked slice may be releasable. */
    std::function<void()> workEnded;
    /** The set of held keys changed; waiting requests may proceed, a revoked slice may be releasable. */
    std::function<void()> holdsChanged;
    /** A heartbeat arrived out of order. */
    std::function<void()> heartbeatLate;
    /** A waiting ticket was admitted or shed. */
    std::function<void(agent::TicketId, bool admitted)> decided;
};

/**
 * The upstream beside this agent: its gate, its orders, its health and the work in progress at it.
 * Owned by AgentProcess; used on the loop's thread.
 */
class LocalUpstream
{
public:
    LocalUpstream(loop::EventLoop &loop, AgentState &state, Announcement announcement, LocalUpstreamEvents events);
    ~LocalUpstream();
    LocalUpstream(const LocalUpstream &) = delete;
    LocalUpstream &operator=(const LocalUpstream &) = delete;

    /** Takes an announcement of the same service and name; a new incarnation starts cold. */
    void announced(const Announcement &announcement);

    /**
     * Takes a heartbeat of an upstream that keeps grants of its own.
     * @return what it is to hold from now on
     */
    HeartbeatAnswer heartbeat(const Heartbeat &heartbeat);

    /** Another process has the upstream's address: this one has surely ended. */
    void replaced();

    /** Takes the limits of a changed table. */
    void applyTable();

    /** Restores the limit that the previous agent process had learned, once, as soon as control's state is known. */
    void resumeLimit();

    /** Issues the grants and releases that map and lease require, by calls; to be called after each change. */
    void lookAtGrants();

    /** Issues the grants that map and lease allow; to be called after each change. */
    void sendGrants();

    /** Renews grants that would expire; to be called after each renewal of the lease. */
    void renewGrants();

    /** Forwards a revocation to the upstream. */
    void sendRevoke(const wire::Revoke &order);

    agent::Admission enter(const agent::Ticket &ticket);

    /** @return what enter() would say now, without taking the request in */
    agent::Admission previewAdmission(const agent::Ticket &ticket) const;

    /** @return how long a request takes at the upstream, smoothed; 0 when not known */
    std::chrono::nanoseconds meanServiceTime() const;

    /** Adds the gate's state to a log line. */
    void describe(loop::LogEvent &event) const;

    /** Hands an admitted request on. @param done called once, unless cancelled */
    void dispatch(agent::TicketId ticket, Dispatch request, std::function<void(DispatchResult)> done);

    /** Returns an admitted ticket that will not be dispatched. */
    void giveBack(agent::TicketId ticket);

    /** Cancels a ticket, waiting or dispatched; dispatched work counts until it is known to have ended. */
    void cancel(agent::TicketId ticket);

    /** @return how control knows this upstream */
    wire::UpstreamInfo info() const;

    /** @return id that control gave, 0 before that */
    std::uint32_t id() const;

    const Announcement &announcement() const;
    UpstreamStatus status() const;

    /** @return whether other agents should send requests here */
    bool takesWork() const;

    double load() const;

    /** @return how many requests the upstream is trusted with, and why */
    const agent::AdaptiveLimit &limit() const;

    /** @return connections opened to it since the start */
    std::uint64_t connectionsOpened() const;

    /** @return requests in progress, those given up but perhaps still running included */
    std::size_t inProgress() const;

private:
    struct Work;
    void checkHealth(bool needsNewConnection);
    void healthAnswered(const net::CallResult &result);
    void answered(agent::TicketId ticket, net::CallResult result);
    void linger(agent::TicketId ticket);
    void askToCancel(agent::TicketId ticket);
    void endWork(agent::TicketId ticket, agent::WorkOutcome outcome, bool answeredInFull);
    void processEnded();
    void endLingering();
    bool isSilent(BootTime now) const;
    bool isOutOfService(BootTime now) const;
    bool isServing() const;
    void holdsReported(const Heartbeat &heartbeat);
    std::vector<KeyGrant> grantKeys();
    void recordHeld(const std::vector<KeyGrant> &grants, std::chrono::milliseconds holdFor);
    void holdsEnded();
    bool grantsByHeartbeat() const;
    bool grantsByCall() const;
    void handleKeyNotHeld(const Dispatch &request);
    void setStatus(UpstreamStatus status);
    void moveQueue();
    void armQueueTimer();
    std::vector<Grant> grants() const;

    loop::EventLoop &loop;
    AgentState &state;
    Announcement latest;
    LocalUpstreamEvents events;
    net::HttpClient client;
    CallGrants callGrants;
    agent::Gate gate;
    bool mayResume = true;
    std::map<agent::TicketId, Work> work;
    UpstreamStatus present = UpstreamStatus::Serving;
    BootTime lastAnnounced;
    BootTime lastAnswer;
    bool probing = false;
    bool granting = false;
    bool grantAgain = false;
    BootTime grantedAt;
    /** Heartbeats: the newest one's sequence, since when it is leaving, and when everything it may hold has run out. */
    std::optional<std::uint64_t> sequence;
    BootTime leavingSince;
    /** Slowdown factor that the upstream's VM reported last, and when. */
    double slowness = 1;
    BootTime slownessAt;
    BootTime heldUntil;
    loop::TimerId holdTimer = 0;
    /** Newest epoch that the upstream has accepted; all its ranges were granted again under it. */
    std::uint64_t grantedEpoch = 0;
    loop::TimerId healthTimer = 0;
    loop::TimerId queueTimer = 0;
    std::shared_ptr<bool> alive;
};

} // namespace bergamotweir::process
