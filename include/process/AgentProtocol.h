#pragma once

#include "agent/RequestAction.h"
#include "base/Result.h"
#include "net/CallResult.h"
#include "net/HttpCall.h"
#include "net/HttpRequest.h"
#include "process/Heartbeat.h"
#include "process/OrderAnswer.h"
#include "process/ParsedRequest.h"
#include "process/RequestMetadata.h"
#include "process/UpstreamNotice.h"

#include <pcg_random.hpp>

#include <optional>
#include <variant>

namespace bergamotweir::table {
class Table;
}

namespace bergamotweir::process {

/** Input of AgentProtocol::refuse() for a request that the agent refuses itself. */
struct Refusal {
    agent::RefusalDetails facts;
    /** Adds jitter to the retry-after time, so that callers refused together don't retry together. */
    pcg32 *random = nullptr;
};

/** An upstream that was already running when its agent started. */
struct RecoveredUpstream {
    Announcement announcement;
    /** How much longer the upstream is cold. */
    std::chrono::milliseconds coldFor{0};
};

/**
 * The protocol between an agent and the callers and upstreams of a deployment. Its functions only translate messages;
 * all decisions are made elsewhere. Instances are constants.
 */
struct AgentProtocol {
    /** Parses a caller's request. @return the request, or the answer that refuses it */
    std::variant<ParsedRequest, net::HttpAnswer> (*readRequest)(const net::HttpRequest &request,
                                                                const table::Table &table,
                                                                pcg32 &random,
                                                                BootTime now) = nullptr;

    /** @return the request id that the caller chose; empty if it gave none */
    std::string (*requestId)(const net::HttpRequest &request) = nullptr;

    /**
     * @return header fields to forward with a request, without hop-by-hop fields, internal fields of the system and
     *         credentials that were consumed
     */
    std::vector<net::Header> (*headersToForward)(const net::HttpRequest &request,
                                                 const ParsedRequest &parsed) = nullptr;

    /** @return the answer for the caller, without the header fields that agents use among themselves */
    net::HttpAnswer (*answerForCaller)(net::HttpAnswer answer) = nullptr;

    /** @return the answer to a refused request */
    net::HttpAnswer (*refuse)(const Refusal &refusal) = nullptr;

    /** Adds the request's metadata to a call to the upstream. */
    void (*addRequestMetadata)(net::HttpCall &call, const RequestMetadata &metadata) = nullptr;

    /** @return the result of an attempt at an upstream */
    AttemptResult (*readAttemptResult)(const net::CallResult &result) = nullptr;

    /** @return current slowdown factor of the upstream's VM relative to its usual speed, if the answer states one */
    std::optional<double> (*readSlowness)(const net::HttpAnswer &answer) = nullptr;

    /** @return what the upstream states about itself with its answer */
    UpstreamNotice (*readNotice)(const net::HttpAnswer &answer) = nullptr;

    /** Parses an upstream's heartbeat. */
    Result<Heartbeat> (*readHeartbeat)(const net::HttpRequest &request) = nullptr;

    /** @return the acknowledgement of a heartbeat */
    net::HttpAnswer (*answerHeartbeat)(const HeartbeatAnswer &answer) = nullptr;

    /** @return the call that sends an order to grant or release keys to the upstream */
    net::HttpCall (*orderCall)(const Announcement &upstream, const agent::GrantOrder &order) = nullptr;

    /** @return the upstream's answer to such an order */
    OrderAnswer (*readOrderAnswer)(const net::CallResult &result) = nullptr;

    /** @return a health check call to the upstream */
    net::HttpCall (*healthCall)(const std::string &address,
                                const std::string &path,
                                std::chrono::milliseconds timeout) = nullptr;

    /** @return the instance that has answered a health check; empty if the answer doesn't state one */
    std::string (*readInstance)(const net::HttpAnswer &health) = nullptr;

    /**
     * @return the upstream that control has registered, if @p health is its answer to a health check; nullptr where an
     *         upstream can't be recognized by it
     */
    std::optional<RecoveredUpstream> (*recoverUpstream)(const wire::UpstreamInfo &registered,
                                                        const net::HttpAnswer &health) = nullptr;

    /**
     * Whether upstreams send heartbeats. If so, the answers to heartbeats carry the grants unless the table says
     * otherwise, and a request is cancelled by closing its connection. Otherwise the agent sends orders to the upstream
     * and checks its health periodically.
     */
    bool usesHeartbeats = false;
};

} // namespace bergamotweir::process
