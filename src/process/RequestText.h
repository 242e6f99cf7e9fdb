#pragma once

#include "agent/RequestAction.h"
#include "net/HttpAnswer.h"
#include "net/HttpRequest.h"
#include "process/ParsedRequest.h"

#include <pcg_random.hpp>

#include <chrono>
#include <string>
#include <variant>

namespace bergamotweir::table {
class Table;
}

namespace bergamotweir::process {

/** Header fields that agents use among themselves; none is taken from a caller or passed to one. */
constexpr const char *OutcomeHeader = "Bergamotweir-End";
constexpr const char *HopHeader = "Bergamotweir-Hop";
constexpr const char *UpstreamHeader = "Bergamotweir-Upstream";
constexpr const char *SuspectHeader = "Bergamotweir-Suspect";
constexpr const char *LoadHeader = "Upstream-Load";
/** What the first agent found out about a request, so that the next one needs no table of the same version. */
constexpr const char *ServiceHeader = "Bergamotweir-Service";
constexpr const char *PlaceHeader = "Bergamotweir-Key-Place";
constexpr const char *FingerprintHeader = "Bergamotweir-Fingerprint";
/** Priority, and the times in milliseconds by which the request wants to start and must have started. */
constexpr const char *QueuePriorityHeader = "Bergamotweir-Urgency";
constexpr const char *RepeatableHeader = "Bergamotweir-Repeatable";
constexpr const char *OriginHeader = "Bergamotweir-Origin-Service";
constexpr const char *WorkspaceHeader = "Bergamotweir-Workspace";

/**
 * Reads a request, METHOD /s/SERVICE/PATH and its header fields.
 * @return the request, or the answer that refuses it (400, 404)
 */
std::variant<ParsedRequest, net::HttpAnswer>
parseRequest(const net::HttpRequest &request, const table::Table &table, Origin origin, BootTime now);

/** Adds what the next agent has to know of a request; read back by readForwarded(). */
void addForwarding(std::vector<net::Header> &headers, const ParsedRequest &parsed, BootTime now);

/** Reads a request that another agent has read before. @return the request, or the answer that refuses it (400) */
std::variant<ParsedRequest, net::HttpAnswer> readForwarded(const net::HttpRequest &request, BootTime now);

/** @return header fields to pass on with the request: none of a connection, none of the system's own */
std::vector<net::Header> headersToForward(const net::HttpRequest &request);

/** @return the answer to pass to the caller: without the fields that agents use among themselves */
net::HttpAnswer answerForCaller(net::HttpAnswer answer);

/**
 * Makes the problem that a request is refused with.
 * @param random spreads Retry-After, so that callers who were refused together don't come back together
 */
net::HttpAnswer refusalAnswer(const agent::RefusalDetails &refusal, pcg32 &random);

} // namespace bergamotweir::process
