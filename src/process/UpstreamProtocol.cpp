#include "process/UpstreamProtocol.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <cmath>

namespace bergamotweir::process {

namespace {

using nlohmann::json;

constexpr std::size_t MaxNameLength = 64;
constexpr unsigned MaxSlots = 100000;
constexpr std::chrono::milliseconds OrderTimeout{500};

void readName(const json &object, const char *field, std::string &value, Findings &findings)
{
    const auto found = object.find(field);
    if (found == object.end() || !found->is_string() || found->get_ref<const std::string &>().empty()
        || found->get_ref<const std::string &>().size() > MaxNameLength) {
        findings.push_back({field, "missing or not a text of 1 to 64 bytes", ""});
        return;
    }
    value = found->get<std::string>();
}

std::uint64_t readNumber(const json &object, const char *field, std::uint64_t max, Findings &findings)
{
    const auto found = object.find(field);
    if (found == object.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() == 0
        || found->get<std::uint64_t>() > max) {
        findings.push_back({field, "missing or not a number of 1 to " + std::to_string(max), ""});
        return 1;
    }
    return found->get<std::uint64_t>();
}

net::HttpCall orderCall(const std::string &address, const std::string &target, const json &body)
{
    net::HttpCall call;
    call.address = address;
    call.method = "POST";
    call.target = target;
    call.headers = {{"Content-Type", "application/json"}};
    call.body = body.dump();
    call.timeout = OrderTimeout;
    return call;
}

json rangesOf(const Grant &grant)
{
    json ranges = json::array();
    for (const GrantedRange &range : grant.ranges) {
        // As text: many JSON parsers lose precision in 64-bit numbers.
        ranges.push_back({{"begin", std::to_string(range.begin)}, {"end", std::to_string(range.end)}});
    }
    return ranges;
}

AttemptResult readAnswer(const net::HttpAnswer &answer)
{
    constexpr int FirstError = 400;
    constexpr int OverloadedStatus = 503;
    const std::string *ran = net::findHeader(answer.headers, "Request-Ran");
    if (ran == nullptr || *ran != "no" || answer.status < FirstError) {
        return {agent::AttemptOutcome::Answered, true};
    }
    return {answer.status == OverloadedStatus ? agent::AttemptOutcome::Overloaded : agent::AttemptOutcome::NotOwner,
            false};
}

} // namespace

Result<Announcement> parseAnnouncement(std::string_view body)
{
    const json object = json::parse(body, nullptr, false);
    if (!object.is_object()) {
        return oneFinding("announcement", "not a JSON object");
    }
    constexpr std::uint64_t MaxPort = 65535;
    Findings findings;
    Announcement announcement;
    readName(object, "service", announcement.service, findings);
    readName(object, "name", announcement.name, findings);
    readName(object, "incarnation", announcement.incarnation, findings);
    announcement.port = static_cast<std::uint16_t>(readNumber(object, "port", MaxPort, findings));
    announcement.slots = static_cast<unsigned>(readNumber(object, "slots", MaxSlots, findings));
    announcement.connections = static_cast<unsigned>(readNumber(object, "connections", MaxSlots, findings));
    const auto checks = object.find("checks_grants");
    if (checks != object.end() && checks->is_boolean()) {
        announcement.checksGrants = checks->get<bool>();
    }
    if (!findings.empty()) {
        return findings;
    }
    return announcement;
}

std::string upstreamAddress(const Announcement &announcement)
{
    return announcement.address.empty() ? "127.0.0.1:" + std::to_string(announcement.port) : announcement.address;
}

net::HttpCall grantsCall(const std::string &address, const Grant &grant)
{
    return orderCall(address,
                     "/grants",
                     {{"service", grant.service},
                      {"slices", rangesOf(grant)},
                      {"epoch", grant.epoch},
                      {"expires_ms", grant.expires.count()}});
}

net::HttpCall revokeCall(const std::string &address, const Grant &grant)
{
    return orderCall(
        address, "/revoke", {{"service", grant.service}, {"slices", rangesOf(grant)}, {"epoch", grant.epoch}});
}

net::HttpCall drainCall(const std::string &address)
{
    return orderCall(address, "/drain", json::object());
}

net::HttpCall cancelCall(const std::string &address, const std::string &requestId)
{
    return orderCall(address, "/cancel", {{"request", requestId}});
}

net::HttpCall healthCall(const std::string &address, std::chrono::milliseconds timeout)
{
    net::HttpCall call;
    call.address = address;
    call.target = "/health";
    call.timeout = timeout;
    call.connectTimeout = timeout;
    return call;
}

void addRequestMetadata(net::HttpCall &call, const RequestMetadata &metadata)
{
    call.headers.push_back({"Grant-Epoch", std::to_string(metadata.epoch)});
    call.headers.push_back({"Request-Id", metadata.requestId});
    call.headers.push_back({"Request-Timeout", std::to_string(metadata.timeout.count())});
}

AttemptResult readAttemptResult(const net::CallResult &result)
{
    return result.outcome == net::CallOutcome::Answered ? readAnswer(result.answer) : readUnanswered(result);
}

UpstreamNotice readNotice(const net::HttpAnswer &answer, const NoticeHeaders &names)
{
    UpstreamNotice notice;
    const std::string *const leaving = net::findHeader(answer.headers, names.leaving);
    notice.isLeaving = leaving != nullptr && *leaving == "1";
    const std::string *const limit = net::findHeader(answer.headers, names.rateLimit);
    if (limit == nullptr) {
        return notice;
    }
    double perSecond = 0;
    const char *const last = limit->data() + limit->size();
    const auto [end, error] = std::from_chars(limit->data(), last, perSecond, std::chars_format::fixed);
    notice.hasMalformedLimit = error != std::errc() || end != last || !std::isfinite(perSecond) || perSecond < 0;
    if (!notice.hasMalformedLimit) {
        notice.rateLimit = perSecond;
    }
    return notice;
}

AttemptResult readUnanswered(const net::CallResult &result)
{
    switch (result.outcome) {
    case net::CallOutcome::Answered:
        break;
    case net::CallOutcome::NotSent:
        return {agent::AttemptOutcome::NotSent, false};
    case net::CallOutcome::TruncatedAnswer:
        return {agent::AttemptOutcome::TruncatedAnswer, true};
    case net::CallOutcome::TooLarge:
        return {agent::AttemptOutcome::TooLarge, true};
    case net::CallOutcome::TimedOut:
        return {agent::AttemptOutcome::TimedOut, result.mayHaveRun};
    case net::CallOutcome::ConnectionLost:
    case net::CallOutcome::Cancelled:
        return {agent::AttemptOutcome::ConnectionLost, result.mayHaveRun};
    }
    return {agent::AttemptOutcome::ConnectionLost, true};
}

} // namespace bergamotweir::process
