#include "process/OwnProtocol.h"

#include "process/RequestText.h"
#include "process/UpstreamProtocol.h"

namespace bergamotweir::process {

namespace {

std::variant<ParsedRequest, net::HttpAnswer>
readOwnRequest(const net::HttpRequest &request, const table::Table &table, pcg32 &, BootTime now)
{
    return parseRequest(request, table, Origin::Caller, now);
}

std::string requestIdOf(const net::HttpRequest &request)
{
    const std::string *id = net::findHeader(request.headers, "Request-Id");
    return id == nullptr ? std::string() : *id;
}

std::vector<net::Header> headersOf(const net::HttpRequest &request, const ParsedRequest &)
{
    return headersToForward(request);
}

net::HttpAnswer refuseOwn(const Refusal &refusal)
{
    return refusalAnswer(refusal.facts, *refusal.random);
}

std::optional<double> readNoSlowness(const net::HttpAnswer &)
{
    return std::nullopt;
}

UpstreamNotice readOwnNotice(const net::HttpAnswer &answer)
{
    return readNotice(answer);
}

net::HttpCall ownHealthCall(const std::string &address, const std::string &, std::chrono::milliseconds timeout)
{
    return healthCall(address, timeout);
}

} // namespace

const AgentProtocol &ownProtocol()
{
    static const AgentProtocol protocol{
        .readRequest = readOwnRequest,
        .requestId = requestIdOf,
        .headersToForward = headersOf,
        .answerForCaller = answerForCaller,
        .refuse = refuseOwn,
        .addRequestMetadata = addRequestMetadata,
        .readAttemptResult = readAttemptResult,
        .readSlowness = readNoSlowness,
        .readNotice = readOwnNotice,
        .readHeartbeat = nullptr,
        .answerHeartbeat = nullptr,
        .healthCall = ownHealthCall,
        .usesHeartbeats = false,
    };
    return protocol;
}

} // namespace bergamotweir::process
