#pragma once

#include "net/HttpServer.h"
#include "net/PipelineServer.h"
#include "process/AgentMetrics.h"
#include "process/AgentReport.h"
#include "process/AgentState.h"
#include "process/BodyIntake.h"
#include "process/ControlLink.h"
#include "process/LocalUpstream.h"
#include "process/RequestRunner.h"

#include <map>
#include <utility>

namespace bergamotweir::process {

/**
 * The agent: binds its four ports, and joins control link, local upstreams and request runner.
 * Owned by runAgent(); used on the loop's thread.
 */
class AgentProcess
{
public:
    /** @return a running agent, or every port that could not be bound */
    static Result<std::unique_ptr<AgentProcess>> open(loop::EventLoop &loop, const AgentSettings &settings);

    ~AgentProcess();
    AgentProcess(const AgentProcess &) = delete;
    AgentProcess &operator=(const AgentProcess &) = delete;

    /**
     * Stops without cutting off a request: leaves the routing, hands the keys over, finishes what is in progress.
     * Bounded in time; stops the loop at the end.
     */
    void stop();

private:
    using UpstreamName = std::pair<std::string, std::string>;

    AgentProcess(loop::EventLoop &loop, const AgentSettings &settings);
    Findings listen();
    void connect();
    void announce(const std::shared_ptr<net::Exchange> &exchange);
    void answerOperator(const std::shared_ptr<net::Exchange> &exchange);
    /** Takes a heartbeat by the deployment's protocol. */
    void heartbeat(const std::shared_ptr<net::Exchange> &exchange);
    /** @return whether another process has since taken the place of the one that sent the heartbeat */
    bool isOutdated(const Heartbeat &heartbeat) const;
    LocalUpstream *upstreamOfInstance(const std::string &instance);
    /** Ends the upstreams whose address another one has now, and forgets those on which nothing is left to do. */
    void endReplaced(const Announcement &announcement);
    bool isReady() const;
    LocalUpstream &addUpstream(const Announcement &announcement);
    void stateChanged();
    void rebuildCandidates();
    void sendGrants();
    LocalUpstream *localUpstream(std::uint32_t id);
    bool hasLeft() const;
    void stopStep();
    std::vector<report::Metric> gauges() const;
    std::string healthJson() const;

    loop::EventLoop &loop;
    AgentState state;
    AgentReport report;
    AgentMetrics metrics;
    std::uint64_t knownRevision = 0;
    BootTime revisionSince;
    /** Outlives the server for agents, which tells it when bodies end. */
    BodyIntake bodies;
    std::unique_ptr<net::PipelineServer> callers;
    std::unique_ptr<net::HttpServer> peers;
    std::unique_ptr<net::HttpServer> announcements;
    std::unique_ptr<net::HttpServer> operators;
    std::unique_ptr<net::HttpServer> readiness;
    std::map<UpstreamName, std::unique_ptr<LocalUpstream>> upstreams;
    /** When the newest process at each address started, on its own wall clock. */
    std::map<std::string, std::chrono::milliseconds> newestStart;
    std::unique_ptr<ControlLink> control;
    std::unique_ptr<RequestRunner> runner;
    BootTime stoppingSince;
    BootTime leftSince;
};

} // namespace bergamotweir::process
