#include "base/KeyHash.h"
#include "net/Header.h"
#include "platform/Heartbeats.h"
#include "platform/Manifest.h"
#include "platform/Orders.h"
#include "platform/Requests.h"
#include "platform/Settings.h"
#include "process/UpstreamProtocol.h"
#include "table/Table.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace bergamotweir;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr BootTime Now{100s};

const char *const ManifestText =
    R"({"version":"0000000a","routes":{"columns":["name","host","prefix","kind","timeout_ms","target_latency_ms",)"
    R"("priority","traffic_split","attempts","service","note"],"rows":[)"
    R"(["r1","a.example","/p/","idempotent",1200,600,2,[{"service":"s1","weight":90},{"service":"s2","weight":10}],2,)"
    R"(null,null],["r2","b.example","/q/r/","non_idempotent",1500,800,1,null,1,"s2","kept"]]},)"
    R"("services":{"columns":["name","health_path","max_connections","warmup_s","warmup_per_s","sharded"],"rows":[)"
    R"(["s1","/health",130,3.0,4.6,true],["s2","/ok",130,3.0,4.6,null]]},)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
    R"("base_version":"00000005"})";

table::Table manifestTable()
{
    const wire::PutRoutes change = platform::readManifest(ManifestText, false).value();
    return table::Table().withRoutes(table::RouteTable(change.table()));
}

net::HttpRequest
request(const std::string &method, const std::string &target, std::vector<net::Header> headers, std::string body = {})
{
    return {method, target, std::move(headers), std::move(body), "127.0.0.1:1"};
}

std::variant<process::ParsedRequest, net::HttpAnswer> readCaller(const net::HttpRequest &request,
                                                                 const table::Table &table = manifestTable())
{
    pcg32 random(3);
    return platform::agentProtocol().readRequest(request, table, random, Now);
}

int refusedWith(const net::HttpRequest &request, const table::Table &table = manifestTable())
{
    return std::get<net::HttpAnswer>(readCaller(request, table)).status;
}

net::HttpRequest heartbeat(const std::string &body)
{
    return request("PUT", "/api/instances/i-1", {}, body);
}

const char *const HeartbeatBody =
    R"({"address":"10.0.0.9:80","born":1790000000123,"info":{"service":"s1","version":"v1","zone":"z","slots":6},)"
    R"("status":{"state":"ready","seq":4,"warmup_left_ms":250},"holds":[[0,4095,7]],"freed":[[5000,5001,"abc"]]})";

const std::string AgentFile = "node_id=n1\nip=10.1.0.41\nzone=z1\nlisten.inbound=10.1.0.41:8624\n"
                              "listen.outbound=10.1.0.41:8629\nlisten.ready_addr=10.1.0.41:8625\n"
                              "listen.control=10.1.0.41:8620\ninternal_ports=7600,7615\n"
                              "seeds=10.1.0.46:8620,10.2.0.28:8620\nservice=s1\napp_addr=10.1.0.41:8628\n"
                              "bounds=drain_ms=2000,grace_s=5\nnew_field=1\n";

} // namespace

TEST_CASE("platform: a manifest is read with all its fields and written back unchanged")
{
    const wire::PutRoutes change = platform::readManifest(ManifestText, false).value();
    REQUIRE(change.base_revision() == 5);
    REQUIRE(change.table().revision() == 10);
    REQUIRE(table::validateRoutes(change.table()).empty());
    const wire::Route &first = change.table().routes(0);
    REQUIRE(first.kind() == wire::ROUTE_KIND_IDEMPOTENT);
    REQUIRE(first.timeout_ms() == 1200);
    REQUIRE(first.target_latency_ms() == 600);
    REQUIRE(first.priority() == 2);
    REQUIRE(first.attempts() == 2);
    REQUIRE(first.parts(0).weight() == 90);
    REQUIRE(change.table().routes(1).parts(0).service() == "s2");
    REQUIRE(change.table().services(0).numbered_keys());
    REQUIRE(change.table().services(0).warmup_ms() == 3000);
    REQUIRE(change.table().limits().max_body_bytes() == 1000);
    json written = json::parse(ManifestText);
    written.erase("base_version");
    REQUIRE(json::parse(platform::writeManifest(change.table())) == written);
}

TEST_CASE("platform: uploads are a separate route kind and are not retried")
{
    std::string text = ManifestText;
    text.replace(text.find("\"non_idempotent\""), std::string("\"non_idempotent\"").size(), "\"upload\"");
    const wire::PutRoutes change = platform::readManifest(text, false).value();
    REQUIRE(change.table().routes(1).kind() == wire::ROUTE_KIND_UPLOAD);
    const table::RouteTable routes(change.table());
    const table::Route *upload = routes.find("b.example", "/q/r/x");
    REQUIRE(upload->kind == table::RouteKind::Upload);
    REQUIRE_FALSE(table::canRetry(upload->kind));
    text.replace(text.find("\"upload\""), std::string("\"upload\"").size(), "\"download\"");
    REQUIRE(platform::readManifest(text, false).error().front().place == "routes[1].kind");
}

TEST_CASE("platform: a service states whether keys are granted by calls or in heartbeats")
{
    const auto manifestWith = [](const std::string &grants) {
        return R"({"version":"1","base_version":"0","routes":{"columns":[],"rows":[]},)"
               R"("services":{"columns":["name","health_path","sharded","grants"],"rows":[["s","/h",true,)"
               + grants + "]]}}";
    };
    const auto wayOf = [&](const std::string &grants) {
        return platform::readManifest(manifestWith(grants), false).value().table().services(0).grant_way();
    };
    REQUIRE(wayOf("null") == wire::GRANT_WAY_HEARTBEAT);
    REQUIRE(wayOf("\"heartbeat\"") == wire::GRANT_WAY_HEARTBEAT);
    REQUIRE(wayOf("\"call\"") == wire::GRANT_WAY_CALL);
    const auto unknown = platform::readManifest(manifestWith("\"pigeon\""), false);
    REQUIRE(unknown.error().front().place == "services[0].grants");
    REQUIRE_FALSE(platform::readManifest(manifestWith("7"), false));
}

TEST_CASE("platform: a change of named items is read, and different texts have different content hashes")
{
    const std::string text =
        R"({"version":"0000000b","base_version":"0000000a","upsert":{"routes":{"columns":["name","host","prefix",)"
        R"("kind","timeout_ms","attempts","service"],"rows":[["r3","c.example","/z/","idempotent",900,2,"s1"]]}},)"
        R"("remove":{"routes":["r1"]}})";
    const wire::PutRoutes change = platform::readManifest(text, true).value();
    REQUIRE(change.partial());
    REQUIRE(change.table().routes_size() == 1);
    REQUIRE(change.removed_routes(0) == "r1");
    REQUIRE(change.content_hash() == platform::readManifest(text, true).value().content_hash());
    REQUIRE(change.content_hash() != platform::readManifest(ManifestText, false).value().content_hash());
}

TEST_CASE("platform: unreadable manifests are refused with the place of the fault")
{
    const std::string whole = ManifestText;
    REQUIRE_FALSE(platform::readManifest(whole.substr(0, whole.size() / 2), false));
    REQUIRE_FALSE(platform::readManifest("[]", false));
    REQUIRE_FALSE(platform::readManifest(R"({"version":"0000000a","base_version":"00000005"})", false));
    REQUIRE_FALSE(platform::readManifest(R"({"version":"xyz","base_version":"0","routes":{},"services":{}})", false));
    const auto shortRow =
        platform::readManifest(R"({"version":"1","base_version":"0","services":{"columns":[],"rows":[]},)"
                               R"("routes":{"columns":["name"],"rows":[["r",1]]}})",
                               false);
    REQUIRE(shortRow.error().front().place == "routes[0]");
    const auto wrongType =
        platform::readManifest(R"({"version":"1","base_version":"0","services":{"columns":[],"rows":[]},)"
                               R"("routes":{"columns":["name","kind","timeout_ms"],"rows":[["r","idempotent","x"]]}})",
                               false);
    REQUIRE(wrongType.error().front().place == "routes[0].timeout_ms");
    REQUIRE(wrongType.error().front().message == "expected a number, got string");
}

// Guards against changes that are acknowledged though they could not be read.
TEST_CASE("platform: a change of which a part has another type than stated is refused with the part's path")
{
    const auto placeOf = [](const std::string &part) {
        const auto read = platform::readManifest(R"({"version":"2","base_version":"1",)" + part + "}", true);
        return read ? std::string("read") : read.error().front().place;
    };
    CHECK(placeOf(R"("remove":["r-main"])") == "remove");
    CHECK(placeOf(R"("remove":5)") == "remove");
    CHECK(placeOf(R"("remove":{"routes":"r-main"})") == "remove.routes");
    CHECK(placeOf(R"("remove":{"routes":["r-main",7]})") == "remove.routes[1]");
    CHECK(placeOf(R"("upsert":"x")") == "upsert");
    CHECK(placeOf(R"("upsert":[])") == "upsert");
    CHECK(placeOf(R"("upsert":{"routes":[]})") == "upsert.routes");
    CHECK(placeOf(R"("upsert":{"routes":{"columns":["name"],"rows":5}})") == "upsert.routes.rows");
    CHECK(placeOf(R"("upsert":{"limits":5})") == "upsert.limits");
    CHECK(placeOf(R"("upsert":{"routes":{"columns":["name","kind","traffic_split"],)"
                  R"("rows":[["a","idempotent",[{"service":"s","weight":1},"s"]]]}})")
          == "upsert.routes[0].traffic_split[1]");
    CHECK(placeOf(R"("upsert":{"tenants":{"columns":["name","api_keys"],"rows":[["a",["k"]],["b",[5]]]}})")
          == "upsert.tenants[1].api_keys[0]");
    CHECK(placeOf(R"("upsert":{},"remove":{})") == "read");
}

TEST_CASE("platform: operators' calls are translated to requests, and replies to HTTP statuses")
{
    const process::OperatorProtocol &protocol = platform::operatorProtocol();
    const auto put = std::get<wire::OperatorRequest>(protocol.read(request("PUT", "/api/config", {}, ManifestText)));
    REQUIRE(put.put_routes().table().revision() == 10);
    const auto out = std::get<wire::OperatorRequest>(protocol.read(request("POST", "/api/evacuations/z1", {})));
    REQUIRE(out.mark().kind() == wire::MARK_KIND_FAILURE_DOMAIN);
    REQUIRE(out.mark().name() == "z1");
    REQUIRE_FALSE(out.mark().in_service());
    REQUIRE(std::get<wire::OperatorRequest>(protocol.read(request("DELETE", "/api/evacuations/z1", {})))
                .mark()
                .in_service());
    REQUIRE(std::get<net::HttpAnswer>(protocol.read(request("PUT", "/api/config", {}, "{"))).status == 400);
    REQUIRE(std::get<net::HttpAnswer>(protocol.read(request("GET", "/elsewhere", {}))).status == 404);
    const auto status = [&](wire::OperatorStatus code) {
        wire::OperatorReply reply;
        reply.set_status(code);
        return protocol.write(put, reply).status;
    };
    REQUIRE(status(wire::OPERATOR_STATUS_DONE) == 200);
    REQUIRE(status(wire::OPERATOR_STATUS_CONFLICT) == 412);
    REQUIRE(status(wire::OPERATOR_STATUS_BAD_INPUT) == 400);
    REQUIRE(status(wire::OPERATOR_STATUS_UNKNOWN) == 503);
    const net::HttpAnswer elsewhere = protocol.redirect(request("GET", "/api/config", {}), "10.0.0.4:80");
    REQUIRE(elsewhere.status == 307);
    REQUIRE(*net::findHeader(elsewhere.headers, "Location") == "http://10.0.0.4:80/api/config");
    REQUIRE(protocol.redirect(request("GET", "/api/config", {}), "").status == 503);
}

TEST_CASE("platform: heartbeats are read with the held and the released keys")
{
    const process::Heartbeat read = platform::readHeartbeat(heartbeat(HeartbeatBody)).value();
    REQUIRE(read.announcement.service == "s1");
    REQUIRE(read.announcement.address == "10.0.0.9:80");
    REQUIRE(read.announcement.instance == "i-1");
    REQUIRE(read.announcement.name == "i-1.1790000000123");
    REQUIRE(read.announcement.slots == 6);
    REQUIRE(read.sequence == 4);
    REQUIRE(read.coldFor == 250ms);
    REQUIRE_FALSE(read.isDraining);
    REQUIRE(read.held.front().keys == process::KeyRange{0, 4095});
    REQUIRE(read.held.front().epoch == 7);
    REQUIRE(read.releasedKeys.front().handover == "abc");
    const process::Heartbeat deregistration =
        platform::readHeartbeat(request("DELETE", "/api/instances/i-1", {})).value();
    REQUIRE(deregistration.isDeregistration);
    REQUIRE(deregistration.isDraining);
}

TEST_CASE("platform: malformed heartbeats are refused with a finding for each fault")
{
    REQUIRE_FALSE(platform::readHeartbeat(heartbeat("{")));
    REQUIRE_FALSE(platform::readHeartbeat(heartbeat("[1]")));
    REQUIRE_FALSE(platform::readHeartbeat(heartbeat("\xff\xfe")));
    REQUIRE_FALSE(platform::readHeartbeat(request("PUT", "/api/instances/", {}, HeartbeatBody)));
    REQUIRE_FALSE(platform::readHeartbeat(request("GET", "/api/instances/i-1", {})));
    json body = json::parse(HeartbeatBody);
    body["status"]["state"] = "resting";
    REQUIRE_FALSE(platform::readHeartbeat(heartbeat(body.dump())));
    body = json::parse(HeartbeatBody);
    body["info"]["slots"] = "6";
    body["status"]["seq"] = -1;
    body.erase("address");
    REQUIRE(platform::readHeartbeat(heartbeat(body.dump())).error().size() >= 3);
    body = json::parse(HeartbeatBody);
    body["holds"] = {{5, 4, 1}};
    REQUIRE_FALSE(platform::readHeartbeat(heartbeat(body.dump())));
    body["holds"] = {{0, 70000, 1}};
    REQUIRE_FALSE(platform::readHeartbeat(heartbeat(body.dump())));
    for (const char *field : {"version", "zone"}) {
        body = json::parse(HeartbeatBody);
        body["info"][field] = 7;
        CHECK_FALSE(platform::readHeartbeat(heartbeat(body.dump())));
        body["info"].erase(field);
        CHECK_FALSE(platform::readHeartbeat(heartbeat(body.dump())));
    }
}

// Guards against a report of another writer that is taken for that of an upstream.
TEST_CASE("platform: a heartbeat that lacks a stated field, or has one of another type, is refused")
{
    const json whole = json::parse(HeartbeatBody);
    REQUIRE(platform::readHeartbeat(heartbeat(whole.dump())));
    const json otherValues = {nullptr, true, -1, 1.5, "x", json::array(), json::object(), json::array({"x"})};
    const auto isRefused = [&](const std::string &path, const json &value) {
        json changed = whole;
        changed[json::json_pointer(path)] = value;
        INFO(path << ": " << value);
        CHECK_FALSE(platform::readHeartbeat(heartbeat(changed.dump())));
    };
    for (const char *path : {"/address",
                             "/born",
                             "/info",
                             "/info/service",
                             "/info/version",
                             "/info/zone",
                             "/info/slots",
                             "/status",
                             "/status/state",
                             "/status/seq",
                             "/status/warmup_left_ms",
                             "/holds",
                             "/freed"}) {
        const json::json_pointer pointer(path);
        for (const json &value : otherValues) {
            const bool isSameType = value.type() == whole[pointer].type();
            if (!isSameType) {
                isRefused(path, value);
            }
        }
        json lacking = whole;
        lacking[pointer.parent_pointer()].erase(pointer.back());
        INFO(path << " left out");
        const bool isList = std::string(path) == "/holds" || std::string(path) == "/freed";
        // Upstreams whose keys are granted by calls list none.
        CHECK(platform::readHeartbeat(heartbeat(lacking.dump())).has_value() == isList);
    }
    isRefused("/status/state", "resting");
    for (const json &row : {json{0, 1}, json{0, 1, -7}, json{0, 1, "7"}, json{5, 4, 7}, json{0, 65536, 7}, json(5)}) {
        isRefused("/holds", json::array({row}));
    }
    isRefused("/freed", json::array({{0, 1, 7}}));
}

TEST_CASE("platform: an answer without grants is empty, one with grants has rows and duration")
{
    REQUIRE(platform::answerHeartbeat({}).body == "{}");
    process::HeartbeatAnswer answer;
    answer.holdFor = 2500ms;
    answer.grants = {{{0, 99}, 12, "abc"}};
    REQUIRE(json::parse(platform::answerHeartbeat(answer).body)
            == json::parse(R"({"hold_ms":2500,"holds":[[0,99,12,"abc"]]})"));
}

TEST_CASE("platform: a caller's request gets its route, its key and the shorter of two time-outs")
{
    const net::HttpRequest keyed =
        request("GET",
                "/p/x?y=1",
                {{"Host", "A.example:80"}, {"X-Request-Id", "id"}, {"X-Deadline-Ms", "700"}, {"X-Shard-Key", "65535"}});
    for (int draw = 0; draw < 20; ++draw) {
        pcg32 random(draw);
        const auto parsed = std::get<process::ParsedRequest>(
            platform::agentProtocol().readRequest(keyed, manifestTable(), random, Now));
        REQUIRE(parsed.facts.deadline == Now + 700ms);
        REQUIRE(parsed.facts.maxTries == 2);
        REQUIRE(agent::canRetry(parsed.facts));
        REQUIRE(parsed.facts.keyed == (parsed.facts.service == "s1"));
        REQUIRE((!parsed.facts.keyed || parsed.facts.hash == hashOfNumberedKey(65535)));
    }
    const net::HttpRequest post =
        request("POST", "/q/r/x", {{"Host", "b.example"}, {"X-Request-Id", "id"}, {"X-Deadline-Ms", "9000"}});
    const auto parsed = std::get<process::ParsedRequest>(readCaller(post));
    REQUIRE(parsed.facts.deadline == Now + 1500ms);
    REQUIRE_FALSE(agent::canRetry(parsed.facts));
}

TEST_CASE(
    "platform: requests that can't be routed are refused with 400 or 404, and with 503 before any routes are known")
{
    REQUIRE(refusedWith(request("GET", "/p/x", {{"Host", "a.example"}})) == 400);
    REQUIRE(refusedWith(request("GET", "/none", {{"Host", "a.example"}, {"X-Request-Id", "id"}})) == 404);
    REQUIRE(refusedWith(request("GET", "/p/", {{"Host", "z.example"}, {"X-Request-Id", "id"}})) == 404);
    REQUIRE(refusedWith(request("GET", "/p/", {{"Host", "z.example"}, {"X-Request-Id", "id"}}), table::Table()) == 503);
}

TEST_CASE("platform: fields that the system sets are not accepted from a caller")
{
    const auto headers = platform::agentProtocol().headersToForward(request("GET",
                                                                            "/",
                                                                            {{"Host", "a.example"},
                                                                             {"X-Request-Id", "id"},
                                                                             {"x-downstream-service", "forged"},
                                                                             {"X-Expected-Instance", "forged"},
                                                                             {"X-Deadline-Ms", "1"},
                                                                             {"X-Shard-Key", "3"},
                                                                             {"Connection", "close"},
                                                                             {"X-Tenant-Id", "forged"},
                                                                             {"Bergamotweir-Workspace", "forged"},
                                                                             {"Bergamotweir-Service", "forged"}}),
                                                                    {});
    REQUIRE(headers == std::vector<net::Header>{{"X-Request-Id", "id"}, {"X-Shard-Key", "3"}, {"Host", "a.example"}});
    net::HttpCall call;
    call.headers = headers;
    platform::agentProtocol().addRequestMetadata(
        call, {.epoch = 1, .requestId = "r", .timeout = 800ms, .originService = "s9", .instance = "i-1"});
    REQUIRE(*net::findHeader(call.headers, "X-Deadline-Ms") == "800");
    REQUIRE(*net::findHeader(call.headers, "X-Downstream-Service") == "s9");
    REQUIRE(*net::findHeader(call.headers, "X-Expected-Instance") == "i-1");
    REQUIRE(call.expectedEcho == net::Header{"X-Request-Id", "id"});
}

TEST_CASE("platform: only answers that a worker made count as answers, and only its refusals as not run")
{
    const auto readResult = [](int status, std::vector<net::Header> headers) {
        net::CallResult result;
        result.outcome = net::CallOutcome::Answered;
        result.mayHaveRun = true;
        result.answer = {status, std::move(headers), {}};
        return platform::agentProtocol().readAttemptResult(result);
    };
    const net::Header signedBy{"X-Upstream-Signature", "x"};
    REQUIRE(readResult(200, {signedBy}).outcome == agent::AttemptOutcome::Answered);
    REQUIRE(readResult(200, {}).outcome == agent::AttemptOutcome::ConnectionLost);
    REQUIRE(readResult(200, {signedBy, {"Content-Encoding", "gzip"}}).outcome == agent::AttemptOutcome::ConnectionLost);
    REQUIRE(readResult(500, {signedBy}).outcome == agent::AttemptOutcome::Answered);
    REQUIRE_FALSE(readResult(503, {{"X-Not-Executed", "1"}}).mayHaveRun);
    REQUIRE_FALSE(readResult(421, {}).mayHaveRun);
    REQUIRE(readResult(503, {}).mayHaveRun);
    REQUIRE(readResult(200, {signedBy, {"X-Not-Executed", "1"}}).mayHaveRun);
}

TEST_CASE("platform: the rate limit and the leaving notice of a worker are read from its answers")
{
    const auto read = [](std::vector<net::Header> headers) {
        return platform::agentProtocol().readNotice({200, std::move(headers), ""});
    };
    CHECK(read({}) == process::UpstreamNotice{});
    CHECK(read({{"server-limit", "12.7"}}) == process::UpstreamNotice{.rateLimit = 12.7});
    CHECK(read({{"Server-Limit", "0"}, {"Server-Leaving", "1"}})
          == process::UpstreamNotice{.rateLimit = 0, .isLeaving = true});
    CHECK_FALSE(read({{"Server-Leaving", "0"}}).isLeaving);
    for (const char *malformed : {"", "many", "-1", "nan", "inf", "1e3", "12.7 "}) {
        CAPTURE(malformed);
        CHECK(read({{"Server-Limit", malformed}, {"Server-Leaving", "1"}})
              == process::UpstreamNotice{.rateLimit = std::nullopt, .hasMalformedLimit = true, .isLeaving = true});
    }
}

TEST_CASE("platform: a refusal promises that the request didn't run only if that is certain")
{
    pcg32 random(1);
    const auto status = [&](agent::RefusalDetails facts) {
        return platform::agentProtocol().refuse({facts, &random}).status;
    };
    REQUIRE(status({.outcome = agent::AttemptOutcome::Overloaded, .status = 503, .ran = agent::Ran::No}) == 503);
    REQUIRE(status({.outcome = agent::AttemptOutcome::Overloaded, .status = 503, .ran = agent::Ran::Unknown}) == 502);
    REQUIRE(status({.outcome = agent::AttemptOutcome::OverLimit, .status = 429, .ran = agent::Ran::Unknown}) == 502);
    REQUIRE(status({.cause = agent::RefusalCause::DeadlinePassed, .status = 504, .ran = agent::Ran::Unknown}) == 504);
    REQUIRE(status({.cause = agent::RefusalCause::DeadlinePassed, .status = 504, .ran = agent::Ran::No}) == 503);
    const net::HttpAnswer answer = platform::agentProtocol().refuse(
        {{.outcome = agent::AttemptOutcome::Overloaded, .status = 503, .ran = agent::Ran::No, .retryAfter = true},
         &random});
    const double seconds = std::stod(*net::findHeader(answer.headers, "Retry-After"));
    REQUIRE(seconds > 0);
    REQUIRE(seconds < 1);
}

TEST_CASE("platform: settings of an agent are translated, unknown ones ignored")
{
    const process::AgentSettings settings = platform::readAgentSettings(AgentFile).value();
    REQUIRE(settings.agentName == "n1");
    REQUIRE(settings.failureDomain == "z1");
    REQUIRE(settings.callerPort == 8629);
    REQUIRE(settings.peerPort == 8624);
    REQUIRE(settings.readyPort == 8625);
    REQUIRE(settings.announceAddress == "10.1.0.41");
    REQUIRE(settings.announcePort == 8620);
    REQUIRE(settings.controls == std::vector<std::string>{"10.1.0.46:7600", "10.2.0.28:7600"});
    REQUIRE(settings.upstreamAddress == "10.1.0.41:8628");
    REQUIRE(settings.maxStopTime == 4500ms);
}

TEST_CASE("platform: settings of a control replica give the seeds and the number of voters")
{
    const std::string text = "node_id=c1\nip=10.1.0.46\nlisten.control=10.1.0.46:8620\ninternal_ports=7600,7615\n"
                             "seeds=10.1.0.46:8620,10.2.0.28:8620\nbootstrap=true\ndata_dir=/data/x\n"
                             "fault_tolerance.machines=2\n";
    const process::ControlSettings settings = platform::readControlSettings(text).value();
    REQUIRE(settings.group->seeds == std::vector<std::string>{"10.1.0.46:7601", "10.2.0.28:7601"});
    REQUIRE(settings.group->firstStart);
    REQUIRE(settings.group->wantedVoters == 5);
    REQUIRE(settings.orderPort == 8620);
    REQUIRE(settings.controlPort == 7600);
    REQUIRE(settings.dataFolder == "/data/x");
}

TEST_CASE("platform: all missing and malformed settings are reported together")
{
    const auto empty = platform::readAgentSettings("");
    REQUIRE(empty.error().size() >= 8);
    std::string broken = AgentFile;
    broken.replace(broken.find("10.1.0.41:8629"), 14, "10.1.0.41:port");
    broken.replace(broken.find("7600,7615"), 9, "7600,7601");
    broken += "no equals sign\n";
    const auto result = platform::readAgentSettings(broken);
    REQUIRE(result.error().size() >= 3);
    REQUIRE(result.error().front().place == "line 14");
    REQUIRE_FALSE(platform::readControlSettings("bootstrap=perhaps\n"));
}

namespace {

/** Manifest with two workspaces, one of them with a priority and a limit; r2 also serves callers without a key. */
std::string workspaceManifest()
{
    json manifest = json::parse(ManifestText);
    manifest["routes"]["columns"].push_back("allow_anonymous");
    manifest["routes"]["rows"][0].push_back(false);
    manifest["routes"]["rows"][1].push_back(true);
    manifest["tenants"] =
        json::parse(R"({"columns":["name","api_keys","priority","rate_per_s","burst"],)"
                    R"("rows":[["north",["key-n1","key-n2"],0,40,80],["south",["key-s"],null,null,null]]})");
    return manifest.dump();
}

table::Table workspaceTable()
{
    wire::PutRoutes change = platform::readManifest(workspaceManifest(), false).value();
    change.mutable_table()->set_digest_key(std::string(32, 'd'));
    REQUIRE(table::digestKeys(*change.mutable_table(), change.table().digest_key()).empty());
    return table::Table().withRoutes(table::RouteTable(change.table()));
}

net::HttpRequest callOf(const std::string &host, const std::string &path, std::vector<net::Header> headers)
{
    headers.push_back({"Host", host});
    headers.push_back({"X-Request-Id", "id"});
    headers.push_back({"X-Shard-Key", "3"});
    return request("GET", path, std::move(headers));
}

process::ParsedRequest identified(const std::string &credentials)
{
    return std::get<process::ParsedRequest>(
        readCaller(callOf("a.example", "/p/x", {{"authorization", credentials}}), workspaceTable()));
}

} // namespace

TEST_CASE("platform: workspaces are read with all their fields and written back unchanged")
{
    const std::string text = workspaceManifest();
    const wire::PutRoutes change = platform::readManifest(text, false).value();
    REQUIRE(change.table().callers_need_keys());
    REQUIRE_FALSE(change.table().routes(0).keyless_callers());
    REQUIRE(change.table().routes(1).keyless_callers());
    const wire::Workspace &north = change.table().workspaces(0);
    REQUIRE(north.keys_size() == 2);
    REQUIRE(north.priority() == 0);
    REQUIRE(north.rate_per_second() == 40);
    REQUIRE(north.burst() == 80);
    REQUIRE_FALSE(change.table().workspaces(1).has_priority());
    const json written = json::parse(platform::writeManifest(change.table()));
    REQUIRE(written["tenants"] == json::parse(text)["tenants"]);
    REQUIRE(written["routes"]["rows"].size() == 2);
    REQUIRE_FALSE(platform::readManifest(ManifestText, false).value().table().has_callers_need_keys());
}

TEST_CASE("platform: findings about unreadable workspaces contain their name and no keys")
{
    const auto findingOf = [](const std::string &row) {
        json manifest = json::parse(workspaceManifest());
        manifest["tenants"]["rows"][0] = json::parse(row);
        return toText(platform::readManifest(manifest.dump(), false).error());
    };
    for (const char *row : {R"(["north",["key-n1"],0,-1,80])",
                            R"(["north",["key-n1"],0,40,-80])",
                            R"(["north",["key-n1"],"high",40,80])",
                            R"(["north",["key-n1",7],0,40,80])",
                            R"(["north","key-n1",0,40,80])"}) {
        const std::string finding = findingOf(row);
        REQUIRE(finding.find("workspace north") != std::string::npos);
        REQUIRE(finding.find("key-n1") == std::string::npos);
    }
    json shortRow = json::parse(workspaceManifest());
    shortRow["tenants"]["rows"][0].erase(1);
    REQUIRE_FALSE(platform::readManifest(shortRow.dump(), false));
}

TEST_CASE("platform: a caller is identified by its key; header field and scheme are case-insensitive")
{
    for (const char *credentials : {"Token key-n1", "token key-n2", "TOKEN  key-n1"}) {
        const process::ParsedRequest parsed = identified(credentials);
        REQUIRE(parsed.workspace == "north");
        REQUIRE(parsed.credentialsConsumed);
        REQUIRE(parsed.targets.priority == 0);
    }
    const process::ParsedRequest south = identified("Token key-s");
    REQUIRE(south.workspace == "south");
    REQUIRE(south.targets.priority == 2);
}

TEST_CASE("platform: a request without a known key is refused with 401, except on routes that serve such callers")
{
    const table::Table table = workspaceTable();
    const auto statusWith = [&](std::vector<net::Header> headers, const std::string &host = "a.example") {
        const auto read = readCaller(callOf(host, host == "a.example" ? "/p/x" : "/q/r/x", std::move(headers)), table);
        const auto *refusal = std::get_if<net::HttpAnswer>(&read);
        return refusal == nullptr ? 200 : refusal->status;
    };
    REQUIRE(statusWith({}) == 401);
    REQUIRE(statusWith({{"Authorization", "Token"}}) == 401);
    REQUIRE(statusWith({{"Authorization", "Token "}}) == 401);
    REQUIRE(statusWith({{"Authorization", ""}}) == 401);
    REQUIRE(statusWith({{"Authorization", "Basic key-n1"}}) == 401);
    REQUIRE(statusWith({{"Authorization", "Tokens key-n1"}}) == 401);
    REQUIRE(statusWith({{"Authorization", "Token key-x"}}) == 401);
    REQUIRE(statusWith({{"Authorization", "Token " + std::string(8192, 'k')}}) == 401);
    REQUIRE(statusWith({{"Authorization", "Token key-\xff\x01"}}) == 401);
    REQUIRE(statusWith({{"Authorization", "Token key-n1"}, {"authorization", "Token key-s"}}) == 401);
    REQUIRE(statusWith({{"Authorization", "Token key-n1"}}) == 200);
    REQUIRE(statusWith({}, "b.example") == 200);
    REQUIRE(statusWith({{"Authorization", "Basic other"}}, "b.example") == 200);
    REQUIRE(statusWith({{"Authorization", "Token key-x"}}, "b.example") == 401);
    REQUIRE(refusedWith(callOf("a.example", "/p/x", {}), table::Table()) == 503);
}

TEST_CASE("platform: upstreams are shown the workspace and not the key")
{
    const process::AgentProtocol &protocol = platform::agentProtocol();
    const net::HttpRequest received =
        callOf("a.example", "/p/x", {{"AUTHORIZATION", "Token key-s"}, {"x-tenant-id", "north"}});
    const auto parsed = std::get<process::ParsedRequest>(readCaller(received, workspaceTable()));
    net::HttpCall call;
    call.headers = protocol.headersToForward(received, parsed);
    REQUIRE(net::findHeader(call.headers, "Authorization") == nullptr);
    REQUIRE(net::findHeader(call.headers, "X-Tenant-Id") == nullptr);
    process::RequestMetadata metadata;
    metadata.workspace = parsed.workspace;
    protocol.addRequestMetadata(call, metadata);
    REQUIRE(*net::findHeader(call.headers, "X-Tenant-Id") == "south");
    net::HttpCall without;
    protocol.addRequestMetadata(without, process::RequestMetadata());
    REQUIRE(net::findHeader(without.headers, "X-Tenant-Id") == nullptr);
}

TEST_CASE("platform: without required keys callers' credentials are forwarded")
{
    const net::HttpRequest received = callOf("a.example", "/p/x", {{"Authorization", "Token key-s"}});
    const auto parsed = std::get<process::ParsedRequest>(readCaller(received));
    REQUIRE(parsed.workspace.empty());
    const auto headers = platform::agentProtocol().headersToForward(received, parsed);
    REQUIRE(*net::findHeader(headers, "Authorization") == "Token key-s");
}
