#pragma once

#include "agent/RequestAction.h"
#include "net/HttpAnswer.h"
#include "net/HttpRequest.h"

#include <pcg_random.hpp>

#include <chrono>
#include <string>
#include <variant>

namespace bergamotweir::table {
class Table;
}

namespace bergamotweir::process {

/** Header fields that agents use among themselves; none is taken from a caller or passed to one. */
constexpr const char *EndHeader = "Bergamotweir-End";
constexpr const char *HopHeader = "Bergamotweir-Hop";
constexpr const char *UpstreamHeader = "Bergamotweir-Upstream";
constexpr const char *SuspectHeader = "Bergamotweir-Suspect";
constexpr const char *LoadHeader = "Upstream-Load";

/** A request as an agent understands it. */
struct ParsedRequest {
    agent::RequestFacts facts;
    std::string key;
    std::string idempotencyKey;
    std::uint64_t fingerprint = 0;
    /** Only from another agent: its name for the request, the upstream that it wants, and whether it is a suspect. */
    std::string requestId;
    std::uint32_t wantedUpstream = 0;
    bool suspect = false;
};

/** Which port a request came in by. */
enum class Origin { Caller, Peer };

/**
 * Reads a request, METHOD /s/SERVICE/PATH and its header fields.
 * @return the request, or the answer that refuses it (400, 404)
 */
std::variant<ParsedRequest, net::HttpAnswer>
parseRequest(const net::HttpRequest &request, const table::Table &table, Origin origin, BootTime now);

/** @return header fields to pass on with the request: none of a connection, none of the system's own */
std::vector<net::Header> headersToForward(const net::HttpRequest &request);

/** @return the answer to pass to the caller: without the fields that agents use among themselves */
net::HttpAnswer answerForCaller(net::HttpAnswer answer);

/**
 * Makes the problem that a request is refused with.
 * @param random spreads Retry-After, so that callers who were refused together don't come back together
 */
net::HttpAnswer refusalAnswer(const agent::RefusalFacts &refusal, pcg32 &random);

} // namespace bergamotweir::process
