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

#include <pcg_random.hpp>

#include <optional>
#include <variant>

namespace bergamotweir::table {
class Table;
}

namespace bergamotweir::process {

/** How an agent answers a request that it refuses itself. */
struct Refusal {
    agent::RefusalDetails facts;
    /** Spreads the time after which callers come back, so that those refused together don't come back together. */
    pcg32 *random = nullptr;
};

/**
 * How callers and upstreams of a deployment speak to an agent: plain functions that translate, and decide nothing.
 * Instances are constants.
 */
struct AgentProtocol {
    /** Reads a caller's request. @return the request, or the answer that refuses it */
    std::variant<ParsedRequest, net::HttpAnswer> (*readRequest)(const net::HttpRequest &request,
                                                                const table::Table &table,
                                                                pcg32 &random,
                                                                BootTime now) = nullptr;

    /** @return the caller's name for its request; empty when it gave none */
    std::string (*requestId)(const net::HttpRequest &request) = nullptr;

    /**
     * @return header fields to pass on with a request: none of a connection, none of the system's own, no credentials
     *         that were taken
     */
    std::vector<net::Header> (*headersToForward)(const net::HttpRequest &request,
                                                 const ParsedRequest &parsed) = nullptr;

    /** @return the answer to pass to the caller: without the fields that agents use among themselves */
    net::HttpAnswer (*answerForCaller)(net::HttpAnswer answer) = nullptr;

    /** @return the answer to a refused request */
    net::HttpAnswer (*refuse)(const Refusal &refusal) = nullptr;

    /** Adds to a call to the upstream what the upstream has to know of the request. */
    void (*addRequestMetadata)(net::HttpCall &call, const RequestMetadata &metadata) = nullptr;

    /** @return how a request ended at an upstream */
    AttemptResult (*readAttemptResult)(const net::CallResult &result) = nullptr;

    /** @return how slow the upstream's VM is at this moment against its usual speed, where its answer says so */
    std::optional<double> (*readSlowness)(const net::HttpAnswer &answer) = nullptr;

    /** Reads what an upstream says of itself. */
    Result<Heartbeat> (*readHeartbeat)(const net::HttpRequest &request) = nullptr;

    /** @return the acknowledgement of a heartbeat */
    net::HttpAnswer (*answerHeartbeat)(const HeartbeatAnswer &answer) = nullptr;

    /** @return the call that carries an order about keys to the upstream */
    net::HttpCall (*orderCall)(const Announcement &upstream, const agent::GrantOrder &order) = nullptr;

    /** @return what became of such an order */
    OrderAnswer (*readOrderAnswer)(const net::CallResult &result) = nullptr;

    /** @return a call that asks the upstream whether it is well */
    net::HttpCall (*healthCall)(const std::string &address,
                                const std::string &path,
                                std::chrono::milliseconds timeout) = nullptr;

    /**
     * Whether upstreams send heartbeats, which carry their grants unless the table says otherwise, and a request is
     * given up by closing its connection. Otherwise the agent sends the upstream orders of its own, and asks it for its
     * health all the time.
     */
    bool usesHeartbeats = false;
};

} // namespace bergamotweir::process
