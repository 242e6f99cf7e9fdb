#pragma once

#include "agent/ProcessIdentity.h"
#include "net/HttpServer.h"
#include "net/PipelineServer.h"
#include "process/AgentMetrics.h"
#include "process/AgentReport.h"
#include "process/AgentState.h"
#include "process/BodyIntake.h"
#include "process/ControlLink.h"
#include "process/InstanceCheck.h"
#include "process/LocalUpstream.h"
#include "process/LoopMonitor.h"
#include "process/RequestRunner.h"
#include "process/UpstreamRecovery.h"

#include <map>
#include <utility>

namespace bergamotweir::process {

/**
 * The agent process: binds its ports and connects the control link, the local upstreams and the request runner.
 * Owned by runAgent(); used on the loop's thread.
 */
class AgentProcess
{
public:
    /** @return a running agent, or a finding for each port that could not be bound */
    static Result<std::unique_ptr<AgentProcess>> open(loop::EventLoop &loop, const AgentSettings &settings);

    ~AgentProcess();
    AgentProcess(const AgentProcess &) = delete;
    AgentProcess &operator=(const AgentProcess &) = delete;

    /**
     * Starts a graceful stop: withdraws from routing, hands the keys over and finishes the requests in progress.
     * Bounded by AgentSettings::maxStopTime; stops the loop at the end.
     */
    void stop();

private:
    using UpstreamName = std::pair<std::string, std::string>;

    AgentProcess(loop::EventLoop &loop, const AgentSettings &settings);
    Findings listen();
    void connect();
    void handleAnnouncement(const std::shared_ptr<net::Exchange> &exchange);
    void answerOperator(const std::shared_ptr<net::Exchange> &exchange);
    /** Handles a heartbeat in the deployment's protocol. */
    void handleHeartbeat(const std::shared_ptr<net::Exchange> &exchange);
    /** Handles the deregistration of an instance; it may come late, from an earlier process of that instance. */
    void handleDeregistration(const std::shared_ptr<net::Exchange> &exchange, const std::string &instance);
    void deregister(const std::string &instance);
    /**
     * Applies a heartbeat of an upstream and answers it.
     * @param answeringInstance instance that answers at the sender's address; empty if it was not asked or not stated
     */
    void acceptHeartbeat(const std::shared_ptr<net::Exchange> &exchange,
                         const Heartbeat &heartbeat,
                         const std::string &answeringInstance);
    /** @return whether the sender has to answer at its address, as another process that may run has it */
    bool mustAnswerAtAddress(const Announcement &announcement) const;
    /** Accepts a heartbeat once its sender answers at its address, and refuses it if another process does. */
    void checkInstance(const std::shared_ptr<net::Exchange> &exchange, const Heartbeat &heartbeat);
    /** Serves an upstream that was already running when this process started. */
    void addRecovered(const RecoveredUpstream &recovered);
    /** Delays the answer to an upstream's heartbeat until it can be granted keys. */
    void holdHeartbeat(const UpstreamName &name, const std::shared_ptr<net::Exchange> &exchange, Heartbeat heartbeat);
    /** Answers the delayed heartbeats of upstreams that can be granted keys now. */
    void answerHeldHeartbeats();
    void answerHeldHeartbeat(const UpstreamName &name);
    /** @return whether the routes name a service; before they are known, whether this agent's settings do */
    bool isKnownService(const std::string &service) const;
    /** @return what is wrong with a heartbeat that can't be an upstream's; empty if nothing is */
    std::string refusalOf(const Heartbeat &heartbeat) const;
    /** @return how the sender of a heartbeat relates to the processes that this agent and control know */
    agent::HeartbeatSender senderOf(const Announcement &announcement) const;
    /** @return whether control has registered a process at the sender's address that started later */
    bool isEarlierThanRegistered(const Announcement &announcement) const;
    LocalUpstream *findByInstance(const std::string &instance);
    /** @return whether a process at the address, other than the sender, may hold keys that were granted to it */
    bool mayOthersHoldKeys(const Announcement &announcement) const;
    /** Ends upstreams whose address now belongs to another one, and removes crashed ones without work in progress. */
    void retireReplaced(const Announcement &announcement, const std::string &answeringInstance);
    bool isReady() const;
    LocalUpstream &addUpstream(const Announcement &announcement);
    void stateChanged();
    void rebuildCandidates();
    void sendGrants();
    LocalUpstream *localUpstream(std::uint32_t id);
    bool isOutOfRouting() const;
    void continueStop();
    std::vector<report::Metric> gauges() const;
    /** Sets the metrics that are computed when they are read. */
    void updateMetrics();
    std::string healthJson() const;

    loop::EventLoop &loop;
    LoopMonitor loopMonitor;
    AgentState state;
    AgentReport report;
    AgentMetrics metrics;
    std::uint64_t appliedRevision = 0;
    BootTime revisionAppliedAt;
    /** Outlives the peers server, which notifies it when bodies end. */
    BodyIntake bodies;
    std::unique_ptr<net::PipelineServer> callers;
    std::unique_ptr<net::HttpServer> peers;
    std::unique_ptr<net::HttpServer> announcements;
    std::unique_ptr<net::HttpServer> operators;
    std::unique_ptr<net::HttpServer> readiness;
    std::map<UpstreamName, std::unique_ptr<LocalUpstream>> upstreams;
    /** A heartbeat whose answer is delayed. */
    struct HeldHeartbeat {
        std::shared_ptr<net::Exchange> exchange;
        Heartbeat heartbeat;
        loop::TimerId timer = 0;
    };
    std::map<UpstreamName, HeldHeartbeat> heldHeartbeats;
    /** The process at each address that started last. */
    std::map<std::string, agent::ProcessIdentity> newestProcesses;
    /** When a later process of an instance reported first, by instance. */
    std::map<std::string, BootTime> restartedInstances;
    std::unique_ptr<ControlLink> control;
    std::unique_ptr<UpstreamRecovery> recovery;
    std::unique_ptr<InstanceCheck> instanceCheck;
    std::unique_ptr<RequestRunner> runner;
    BootTime stopStartedAt;
    BootTime outOfRoutingAt;
    /** The requests that were still in progress at the end of a stop have been ended. */
    bool hasExpiredRequests = false;
};

} // namespace bergamotweir::process
