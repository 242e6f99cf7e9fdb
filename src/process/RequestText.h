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

/** Header fields used between agents only: ignored in callers' requests and never passed to callers. */
constexpr const char *OutcomeHeader = "Bergamotweir-End";
constexpr const char *HopHeader = "Bergamotweir-Hop";
constexpr const char *UpstreamHeader = "Bergamotweir-Upstream";
constexpr const char *SuspectHeader = "Bergamotweir-Suspect";
constexpr const char *LoadHeader = "Upstream-Load";
/** What the first agent determined about a request, so that the next one does not need the same table version. */
constexpr const char *ServiceHeader = "Bergamotweir-Service";
constexpr const char *KeyHashHeader = "Bergamotweir-Key-Place";
constexpr const char *FingerprintHeader = "Bergamotweir-Fingerprint";
/** Priority, target deadline and dispatch deadline in the queue; the deadlines in milliseconds from now. */
constexpr const char *QueuePriorityHeader = "Bergamotweir-Urgency";
constexpr const char *RepeatableHeader = "Bergamotweir-Repeatable";
/** Present if a slow upstream should leave the request to another one. */
constexpr const char *DivertHeader = "Bergamotweir-Divert";
constexpr const char *OriginHeader = "Bergamotweir-Origin-Service";
constexpr const char *WorkspaceHeader = "Bergamotweir-Workspace";

/**
 * Reads a request, METHOD /s/SERVICE/PATH and its header fields.
 * @return the request, or the answer that refuses it (400, 404)
 */
std::variant<ParsedRequest, net::HttpAnswer>
parseRequest(const net::HttpRequest &request, const table::Table &table, Origin origin, BootTime now);

/** Adds the header fields that the next agent needs of a request; they are read back by readForwarded(). */
void addForwarding(std::vector<net::Header> &headers, const ParsedRequest &parsed, BootTime now);

/** Reads a request forwarded by another agent. @return the request, or the answer that refuses it (400) */
std::variant<ParsedRequest, net::HttpAnswer> readForwarded(const net::HttpRequest &request, BootTime now);

/** @return the header fields to pass on with the request: without the connection's and the system's own */
std::vector<net::Header> headersToForward(const net::HttpRequest &request);

/** @return the answer to pass to the caller: without the header fields used between agents */
net::HttpAnswer answerForCaller(net::HttpAnswer answer);

/**
 * Builds the problem document that refuses a request.
 * @param random spreads Retry-After, so that callers refused together don't retry together
 */
net::HttpAnswer refusalAnswer(const agent::RefusalDetails &refusal, pcg32 &random);

} // namespace bergamotweir::process
