#include "process/RequestText.h"

#include "agent/CrashTracker.h"
#include "base/KeyHash.h"
#include "net/Problem.h"
#include "table/Table.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <optional>

namespace bergamotweir::process {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view Prefix = "/s/";
constexpr milliseconds MaxRequestTimeout{std::chrono::minutes(10)};
constexpr std::size_t MaxKeyLength = 1024;
constexpr std::size_t MaxIdempotencyKeyLength = 256;
constexpr unsigned MinRetryAfterSeconds = 1;
constexpr unsigned RetryAfterSpreadSeconds = 3;
constexpr std::string_view OwnPrefix = "bergamotweir-";

bool equalNames(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

bool isOwnHeader(std::string_view name)
{
    static constexpr std::array<std::string_view, 4> Own{"Request-Id", "Grant-Epoch", LoadHeader, "Request-Timeout"};
    const bool hasOwnPrefix = name.size() > OwnPrefix.size() && equalNames(name.substr(0, OwnPrefix.size()), OwnPrefix);
    return hasOwnPrefix || std::any_of(Own.begin(), Own.end(), [&](std::string_view own) {
               return equalNames(name, own);
           });
}

std::string headerText(const net::HttpRequest &request, std::string_view name)
{
    const std::string *value = net::findHeader(request.headers, name);
    return value == nullptr ? std::string() : *value;
}

std::optional<std::uint64_t> readNumber(const std::string &text)
{
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [stopped, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stopped != end || text.empty()) {
        return std::nullopt;
    }
    return value;
}

net::HttpAnswer badRequest(std::string_view detail)
{
    return net::problem(400, "bad request", detail, net::RequestRan::No);
}

std::string serviceOf(std::string_view target)
{
    if (!target.starts_with(Prefix)) {
        return {};
    }
    target.remove_prefix(Prefix.size());
    return std::string(target.substr(0, target.find_first_of("/?")));
}

/** @return the deadline, or nothing when the header field is not a number of milliseconds above 0 */
std::optional<BootTime> readDeadline(const net::HttpRequest &request, milliseconds defaultTimeout, BootTime now)
{
    const std::string text = headerText(request, "Request-Timeout");
    if (text.empty()) {
        return now + defaultTimeout;
    }
    const std::optional<std::uint64_t> requested = readNumber(text);
    if (!requested || *requested == 0) {
        return std::nullopt;
    }
    const auto bounded = std::min<std::uint64_t>(*requested, static_cast<std::uint64_t>(MaxRequestTimeout.count()));
    return now + milliseconds(bounded);
}

void readPeerFields(const net::HttpRequest &request, ParsedRequest &parsed)
{
    parsed.facts.forwarded = true;
    parsed.requestId = headerText(request, "Request-Id");
    const std::uint64_t upstreamId = readNumber(headerText(request, UpstreamHeader)).value_or(0);
    parsed.requestedUpstream = static_cast<std::uint32_t>(upstreamId);
    parsed.suspect = !headerText(request, SuspectHeader).empty();
}

struct RefusalText {
    const char *title;
    const char *detail;
};

RefusalText textOf(agent::AttemptOutcome outcome)
{
    switch (outcome) {
    case agent::AttemptOutcome::NotOwner:
    case agent::AttemptOutcome::KeyNotHeld:
        return {"no owner", "nobody serves this key or service now"};
    case agent::AttemptOutcome::Overloaded:
    case agent::AttemptOutcome::Slow:
        return {"no room", "the upstream can't serve this request in time"};
    case agent::AttemptOutcome::OverLimit:
        return {"over the limit", "the upstream is at the limit that the table sets"};
    case agent::AttemptOutcome::RateLimited:
        return {"no room", "the upstream states a rate limit, which is used up"};
    case agent::AttemptOutcome::Quarantined:
        return {"quarantined", "this request crashed upstreams"};
    case agent::AttemptOutcome::NotSent:
        return {"upstream not reached", "no connection to the upstream"};
    case agent::AttemptOutcome::TimedOut:
        return {"deadline passed", "the upstream didn't answer in time"};
    case agent::AttemptOutcome::TruncatedAnswer:
        return {"upstream failed", "the upstream's answer was cut short"};
    case agent::AttemptOutcome::TooLarge:
        return {"upstream failed", "the upstream's answer was too large"};
    case agent::AttemptOutcome::Crashed:
        return {"upstream failed", "the upstream crashed"};
    default:
        return {"upstream failed", "the connection to the upstream broke"};
    }
}

RefusalText textOf(const agent::RefusalDetails &refusal)
{
    switch (refusal.cause) {
    case agent::RefusalCause::Attempt:
        return textOf(refusal.outcome);
    case agent::RefusalCause::DeadlinePassed:
        return {"deadline passed", "no answer before the request's deadline"};
    case agent::RefusalCause::ClaimConflict:
        return {"idempotency key conflict", "this Idempotency-Key belongs to another request"};
    case agent::RefusalCause::ClaimInProgress:
        return {"in progress", "an earlier send under this Idempotency-Key has not ended"};
    case agent::RefusalCause::ClaimBodyDropped:
        return {"outcome recorded", "an earlier send was answered; its answer was too large to keep"};
    case agent::RefusalCause::ClaimUnknown:
        return {"outcome unknown", "an earlier send under this Idempotency-Key may have run"};
    case agent::RefusalCause::ClaimsFull:
        return {"no room for claims", "control holds as many Idempotency-Keys as it can"};
    case agent::RefusalCause::ClaimUnavailable:
        return {"claims not available", "the Idempotency-Key could not be claimed"};
    case agent::RefusalCause::Limit:
        return {"limit", "the workspace's limit lets no more requests through now"};
    }
    return {"upstream failed", ""};
}

net::RequestRan toWire(agent::Ran ran)
{
    switch (ran) {
    case agent::Ran::No:
        return net::RequestRan::No;
    case agent::Ran::Yes:
        return net::RequestRan::Yes;
    case agent::Ran::Unknown:
        break;
    }
    return net::RequestRan::Unknown;
}

} // namespace

std::variant<ParsedRequest, net::HttpAnswer>
parseRequest(const net::HttpRequest &request, const table::Table &table, Origin origin, BootTime now)
{
    ParsedRequest parsed;
    parsed.facts.service = serviceOf(request.target);
    if (parsed.facts.service.empty()) {
        return badRequest("the target is not /s/SERVICE/PATH");
    }
    if (!table.hasService(parsed.facts.service)) {
        return net::problem(404, "unknown service", "the table names no such service", net::RequestRan::No);
    }
    parsed.route = parsed.facts.service;
    const table::ServicePolicy policy = table.service(parsed.facts.service);
    parsed.facts.method = request.method;
    parsed.facts.keyed = policy.keyed;
    parsed.key = headerText(request, "Routing-Key");
    if (policy.keyed && (parsed.key.empty() || parsed.key.size() > MaxKeyLength)) {
        return badRequest("the service is divided by key; Routing-Key must hold 1 to 1024 bytes");
    }
    parsed.facts.hash = hashKey(parsed.key);
    const std::optional<BootTime> deadline = readDeadline(request, policy.timeout, now);
    if (!deadline) {
        return badRequest("Request-Timeout is not a number of milliseconds above 0");
    }
    parsed.facts.deadline = *deadline;
    parsed.idempotencyKey = headerText(request, "Idempotency-Key");
    if (parsed.idempotencyKey.size() > MaxIdempotencyKeyLength) {
        return badRequest("Idempotency-Key is longer than 256 bytes");
    }
    parsed.fingerprint =
        agent::fingerprint({parsed.facts.service, parsed.key, request.method, request.target, request.body});
    if (origin == Origin::Peer) {
        readPeerFields(request, parsed);
    }
    parsed.facts.claimed =
        origin == Origin::Caller && !parsed.idempotencyKey.empty() && !agent::isIdempotent(request.method);
    return parsed;
}

namespace {

std::string queuePriorityText(const agent::QueuePriority &queuePriority, agent::RouteTag route, BootTime now)
{
    const auto millisecondsUntil = [&](BootTime time) {
        return std::to_string(std::chrono::duration_cast<milliseconds>(time - now).count());
    };
    return std::to_string(queuePriority.priority) + " " + millisecondsUntil(queuePriority.targetDeadline) + " "
           + millisecondsUntil(queuePriority.dispatchDeadline) + " " + std::to_string(route);
}

/** Reads what queuePriorityText() wrote; keeps the defaults when the text can't be parsed. */
void readQueuePriority(const std::string &text, BootTime now, ParsedRequest &parsed)
{
    agent::QueuePriority &queuePriority = parsed.facts.queuePriority;
    long targetDeadline = 0;
    long dispatchDeadline = 0;
    if (std::sscanf(text.c_str(),
                    "%u %ld %ld %hu",
                    &queuePriority.priority,
                    &targetDeadline,
                    &dispatchDeadline,
                    &parsed.routeTag)
        >= 3) {
        queuePriority.targetDeadline = now + milliseconds(targetDeadline);
        queuePriority.dispatchDeadline = now + milliseconds(dispatchDeadline);
    }
}

} // namespace

void addForwarding(std::vector<net::Header> &headers, const ParsedRequest &parsed, BootTime now)
{
    if (parsed.facts.queuePriority.dispatchDeadline != BootTime::max()) {
        headers.push_back({QueuePriorityHeader, queuePriorityText(parsed.facts.queuePriority, parsed.routeTag, now)});
    }
    headers.push_back({ServiceHeader, parsed.facts.service});
    if (parsed.facts.keyed) {
        headers.push_back({KeyHashHeader, std::to_string(parsed.facts.hash)});
    }
    headers.push_back({FingerprintHeader, std::to_string(parsed.fingerprint)});
    headers.push_back({RepeatableHeader, agent::canRetry(parsed.facts) ? "1" : "0"});
    headers.push_back({OriginHeader, parsed.originService});
    if (!parsed.workspace.empty()) {
        headers.push_back({WorkspaceHeader, parsed.workspace});
    }
}

std::variant<ParsedRequest, net::HttpAnswer> readForwarded(const net::HttpRequest &request, BootTime now)
{
    ParsedRequest parsed;
    parsed.facts.method = request.method;
    parsed.facts.service = headerText(request, ServiceHeader);
    parsed.route = parsed.facts.service;
    parsed.originService = headerText(request, OriginHeader);
    parsed.workspace = headerText(request, WorkspaceHeader);
    parsed.facts.repeatable = headerText(request, RepeatableHeader) == "1";
    parsed.mayDivert = !headerText(request, DivertHeader).empty();
    const std::optional<BootTime> deadline = readDeadline(request, milliseconds(0), now);
    if (parsed.facts.service.empty() || !deadline || *deadline <= now) {
        return badRequest("a forwarded request names no service or has no time left");
    }
    parsed.facts.deadline = *deadline;
    readQueuePriority(headerText(request, QueuePriorityHeader), now, parsed);
    if (const std::optional<std::uint64_t> keyHash = readNumber(headerText(request, KeyHashHeader))) {
        parsed.facts.keyed = true;
        parsed.facts.hash = *keyHash;
    }
    parsed.fingerprint = readNumber(headerText(request, FingerprintHeader)).value_or(0);
    readPeerFields(request, parsed);
    return parsed;
}

std::vector<net::Header> headersToForward(const net::HttpRequest &request)
{
    std::vector<net::Header> headers;
    for (const net::Header &header : request.headers) {
        const bool isHostOrExpect = equalNames(header.name, "Host") || equalNames(header.name, "Expect");
        if (!net::isConnectionHeader(header.name) && !isOwnHeader(header.name) && !isHostOrExpect) {
            headers.push_back(header);
        }
    }
    return headers;
}

net::HttpAnswer answerForCaller(net::HttpAnswer answer)
{
    std::erase_if(answer.headers, [](const net::Header &header) {
        return isOwnHeader(header.name) || net::isConnectionHeader(header.name);
    });
    return answer;
}

net::HttpAnswer refusalAnswer(const agent::RefusalDetails &refusal, pcg32 &random)
{
    const RefusalText text = textOf(refusal);
    net::HttpAnswer answer = net::problem(refusal.status, text.title, text.detail, toWire(refusal.ran));
    if (refusal.retryAfter) {
        answer.headers.push_back(
            {"Retry-After", std::to_string(MinRetryAfterSeconds + random(RetryAfterSpreadSeconds))});
    }
    return answer;
}

} // namespace bergamotweir::process
