#pragma once

#include "agent/Gate.h"
#include "agent/HoldEnd.h"
#include "agent/RouteShares.h"
#include "agent/SlowUpstream.h"
#include "loop/EventLoop.h"
#include "loop/LogEvent.h"
#include "net/HttpClient.h"
#include "process/CallGrants.h"
#include "process/Heartbeat.h"
#include "process/UpstreamNotice.h"
#include "process/UpstreamProtocol.h"

#include <control.pb.h>

#include <map>
#include <optional>

namespace bergamotweir::process {

struct AgentState;

/** Whether an upstream accepts work. */
enum class UpstreamStatus {
    Serving,
    /** Its process ended; no request is in progress at it. */
    Crashed,
    /** It doesn't answer, but may resume its work. */
    Frozen
};

/** One request to be sent to the upstream. */
struct Dispatch {
    net::HttpCall call;
    std::string requestId;
    std::string service;
    bool keyed = false;
    std::uint64_t hash = 0;
    /** Epoch of the slice that contains the key; 0 if the service isn't keyed. */
    std::uint64_t epoch = 0;
    std::uint64_t fingerprint = 0;
    BootTime deadline;
    /** Service of the VM at which the request originated. */
    std::string originService;
    std::string workspace;
};

/** Result of a Dispatch. */
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
    std::function<void()> heldKeysChanged;
    /** A heartbeat arrived out of order. */
    std::function<void()> heartbeatLate;
    /** A waiting ticket was admitted or shed. */
    std::function<void(agent::TicketId, bool admitted)> decided;
};

/**
 * An upstream beside this agent: its gate, its grants, its health and the work in progress at it.
 * Owned by AgentProcess; used on the loop's thread.
 */
class LocalUpstream
{
public:
    LocalUpstream(loop::EventLoop &loop, AgentState &state, Announcement announcement, LocalUpstreamEvents events);
    ~LocalUpstream();
    LocalUpstream(const LocalUpstream &) = delete;
    LocalUpstream &operator=(const LocalUpstream &) = delete;

    /** Applies an announcement of the same service and name; a new incarnation starts cold. */
    void applyAnnouncement(const Announcement &announcement);

    /**
     * Applies a heartbeat.
     * @return the keys that the upstream is to hold from now on; no grants if they are sent by calls
     */
    HeartbeatAnswer applyHeartbeat(const Heartbeat &heartbeat);

    /**
     * Serves an upstream that the previous process of this agent has granted keys: it is presumed to hold the keys that
     * it owns, and refuses requests for those that it doesn't hold.
     * @param coldFor how much longer the upstream is cold
     */
    void recover(std::chrono::milliseconds coldFor);

    /** @return the answer to an applied heartbeat: the keys that map and lease allow now */
    HeartbeatAnswer answerHeartbeat(const Heartbeat &heartbeat);

    /** Counts a request that arrived for the upstream. @return whether its route is minor here */
    bool countArrival(agent::RouteTag route);

    /** @return whether a request that another upstream can run is better sent there; see agent::isSlowNow() */
    bool isSlowNow() const;

    /** @return whether a request would wait now because of the rate limit that the upstream states */
    bool isRateLimitedNow() const;

    /** @return whether answerHeartbeat() would grant any keys now */
    bool canGrantKeys() const;

    /**
     * @return whether an upstream that may hold keys would be left without any until its next heartbeat, so that the
     *         answer is worth delaying
     */
    bool awaitsFirstKeys(const Heartbeat &heartbeat, const HeartbeatAnswer &answer) const;

    /**
     * Takes the upstream out of service, as another process has its address.
     * @param holdEnd what proves the end of its process; nullopt if nothing does, which requires that it holds no keys
     */
    void markReplaced(std::optional<agent::HoldEnd> holdEnd);

    /** @return whether the upstream may hold keys */
    bool mayHoldKeys() const;

    /** Applies the limits of a changed table. */
    void applyTable();

    /** Restores the limit that the previous agent process had learned, once, as soon as control's state is known. */
    void restoreLearnedLimit();

    /** Applies what the previous agent process has reported about this upstream: a rate limit, or that it is leaving.
     */
    void restoreNotice();

    /** Issues the grants and releases that map and lease require, by calls; to be called after each change. */
    void updateCallGrants();

    /** Issues the grants that map and lease allow; to be called after each change. */
    void sendGrants();

    /** Renews grants that would expire; to be called after each renewal of the lease. */
    void renewGrants();

    /** Forwards a revocation to the upstream. */
    void sendRevoke(const wire::Revoke &order);

    /** Requests admission of a ticket at the gate. */
    agent::Admission enter(const agent::Ticket &ticket);

    /** @return what enter() would return now, without admitting or queueing the request */
    agent::Admission previewAdmission(const agent::Ticket &ticket) const;

    /** @return smoothed service time of the upstream; 0 if unknown */
    std::chrono::nanoseconds meanServiceTime() const;

    /** Adds the gate's state to a log event. */
    void describe(loop::LogEvent &event) const;

    /** Sends an admitted request to the upstream. @param done called once, unless the ticket is cancelled */
    void dispatch(agent::TicketId ticket, Dispatch request, std::function<void(DispatchResult)> done);

    /** Returns an admitted ticket that will not be dispatched. */
    void giveBack(agent::TicketId ticket);

    /** Cancels a ticket, waiting or dispatched; dispatched work counts until it is known to have ended. */
    void cancel(agent::TicketId ticket);

    /** @return the upstream's state as reported to control */
    wire::UpstreamInfo info() const;

    /** @return id assigned by control; 0 before that */
    std::uint32_t id() const;

    const Announcement &announcement() const;
    UpstreamStatus status() const;

    /** @return whether other agents should send requests here */
    bool takesWork() const;

    double load() const;

    /** @return the adaptive limit of concurrent requests, with its state */
    const agent::AdaptiveLimit &limit() const;

    /** @return number of connections opened to the upstream since the start */
    std::uint64_t connectionsOpened() const;

    /** @return number of requests sent to the upstream since the start */
    std::uint64_t requestsSent() const;

    /** @return requests per second that the upstream states it takes; nullopt if it states no limit */
    std::optional<double> rateLimit() const;

    /** @return whether the upstream has reported that it is leaving */
    bool isLeaving() const;

    /** @return number of requests in progress, including abandoned ones that may still be running */
    std::size_t inProgress() const;

private:
    struct Work;
    /** Sends a health check, unless one is in flight, and updates the status from its result. */
    void checkHealth(bool needsNewConnection, bool isSecondProbe = false);
    void healthAnswered(const net::CallResult &result, bool isSecondProbe);
    void answered(agent::TicketId ticket, net::CallResult result);
    /** Applies what the upstream states about itself with the answer to a request sent at @p sentAt. */
    void readNotice(const net::HttpAnswer &answer, BootTime sentAt);
    /** Marks work as abandoned; requests its cancellation where upstreams send no heartbeats. */
    void abandon(agent::TicketId ticket);
    void requestCancel(agent::TicketId ticket);
    void endWork(agent::TicketId ticket, agent::WorkOutcome outcome, bool answeredInFull);
    void probeAgain();
    void processEnded(agent::HoldEnd holdEnd);
    /** Ends the hold of the upstream's keys before its time; the only way to do so. */
    void endHold(agent::HoldEnd reason);
    void endAbandoned();
    bool isUnresponsive(BootTime now) const;
    bool isOutOfService(BootTime now) const;
    /** Forgets what the previous incarnation of the upstream has stated. */
    void forgetNotice();
    /** Tells control of a rate limit that differs clearly from the one reported last. */
    void reportRateLimit(BootTime now);
    /** Records that the upstream is leaving. @param source what stated it, for the log. @return whether this is new */
    bool recordLeaving(const char *source, BootTime now);
    bool isServing() const;
    void recordReportedKeys(const Heartbeat &heartbeat);
    /** @return how long keys granted now may be held; 0 if none may be granted */
    std::chrono::milliseconds allowedGrantDuration() const;
    /** @return the grants for the answer to a heartbeat; records that the revokes of revoked slices are sent with it */
    std::vector<KeyGrant> grantKeys();
    void recordHeld(const std::vector<KeyGrant> &grants, std::chrono::milliseconds holdFor);
    /** Removes what is recorded as held: the grants have expired, or endHold() was called. */
    void forgetHeldKeys();
    bool grantsByHeartbeat() const;
    bool grantsByCall() const;
    void handleKeyNotHeld(const Dispatch &request);
    void setStatus(UpstreamStatus status);
    void dispatchQueue();
    void armQueueTimer();
    std::vector<Grant> grants() const;

    loop::EventLoop &loop;
    AgentState &state;
    Announcement latestAnnouncement;
    LocalUpstreamEvents events;
    net::HttpClient client;
    CallGrants callGrants;
    agent::WorkTime workTime;
    agent::RouteShares routeShares;
    agent::Gate gate;
    bool canRestoreLimit = true;
    std::map<agent::TicketId, Work> work;
    UpstreamStatus currentStatus = UpstreamStatus::Serving;
    BootTime lastAnnouncedAt;
    BootTime lastAnswerAt;
    bool isProbing = false;
    /** A probe met a reset connection, and another one follows. */
    bool isSecondProbePending = false;
    bool isGrantInFlight = false;
    bool needsAnotherGrant = false;
    BootTime grantSentAt;
    /** Sequence of the newest heartbeat. */
    std::optional<std::uint64_t> sequence;
    /** When the upstream first reported that it is leaving, in a heartbeat or an answer. */
    BootTime leavingSince;
    UpstreamNotice latestNotice;
    /** Rate limit that control was told last, and when; unset before the first answer, 0 if there is no limit. */
    std::optional<double> reportedRateLimit;
    BootTime rateLimitReportedAt;
    std::uint64_t sentCount = 0;
    /** Slowdown factor that the upstream's VM reported last, and when. */
    double slowness = 1;
    BootTime slownessAt;
    /** When every grant that a heartbeat's answer gave has expired. */
    BootTime grantsExpireAt;
    loop::TimerId heldKeysTimer = 0;
    /** Newest epoch that the upstream has accepted; all of its ranges were granted again under it. */
    std::uint64_t grantedEpoch = 0;
    loop::TimerId healthTimer = 0;
    loop::TimerId queueTimer = 0;
    std::shared_ptr<bool> alive;
};

} // namespace bergamotweir::process
