#include "control/OperatorReads.h"
#include "loop/Log.h"
#include "net/HttpServer.h"
#include "process/CommandTimes.h"
#include "process/ControlProcess.h"
#include "process/OperatorProtocol.h"
#include "table/KeyDigest.h"

#include <sodium.h>

#include <variant>

namespace bergamotweir::process {

namespace {

/** Upper bound of the body of an operator's request: twice the size of a table of routes. */
constexpr std::size_t MaxOrderBytes = std::size_t{4} * 1024 * 1024;

constexpr loop::Log Log("control");

/** @return a new secret for digests of callers' keys; only the one of the first accepted change is used */
std::string newDigestKey()
{
    std::string key(table::DigestKeyBytes, '\0');
    randombytes_buf(key.data(), key.size());
    return key;
}

/** Logs an operator's request and its result, so that it can be compared with what each agent has in force. */
void logOrder(const net::HttpRequest &request,
              const wire::OperatorRequest &order,
              const wire::OperatorReply &reply,
              std::chrono::nanoseconds took)
{
    const wire::PutRoutes &routes = order.put_routes();
    Log.event(loop::LogLevel::Info, "order answered")
        .with("order", request.method + " " + request.target)
        .with("base", routes.base_revision())
        .with("revision", order.has_put_routes() ? routes.table().revision() : reply.routes().revision())
        .with("status", wire::OperatorStatus_Name(reply.status()))
        .with("in_force", reply.table_version())
        .with("index", reply.version().index())
        .with("took_ms", took);
}

} // namespace

Findings ControlProcess::openOrderPort()
{
    Result<net::HttpServerSettings> http = net::HttpServerSettingsBuilder()
                                               .address(this->settings.address)
                                               .port(this->settings.orderPort)
                                               .maxBodyBytes(MaxOrderBytes)
                                               .build();
    if (!http) {
        return http.error();
    }
    Result<std::unique_ptr<net::HttpServer>> listening =
        net::HttpServer::listen(this->loop, http.value(), [this](const std::shared_ptr<net::Exchange> &exchange) {
            this->handleOrder(exchange);
        });
    if (!listening) {
        return listening.error();
    }
    this->orderServer = std::move(listening).value();
    return {};
}

void ControlProcess::handleOrder(const std::shared_ptr<net::Exchange> &exchange)
{
    const OperatorProtocol &protocol = *this->settings.operatorProtocol;
    auto read = protocol.read(exchange->request());
    if (auto *refusal = std::get_if<net::HttpAnswer>(&read)) {
        Log.event(loop::LogLevel::Info, "order not readable")
            .with("order", exchange->request().method + " " + exchange->request().target)
            .with("bytes", static_cast<std::uint64_t>(exchange->request().body.size()))
            .with("status", refusal->status);
        exchange->answer(std::move(*refusal));
        return;
    }
    auto &order = std::get<wire::OperatorRequest>(read);
    if (order.has_mark() && order.mark().change_id().empty()) {
        // Marks are idempotent: one that is sent again changes nothing, so each request may get an id of its own.
        order.mutable_mark()->set_change_id(this->settings.replicaId + "-" + std::to_string(this->node->term()) + "-"
                                            + std::to_string(unixMilliseconds()) + "-"
                                            + std::to_string(++this->ordersReceived));
    }
    this->operate(order,
                  [this, &protocol, exchange, order, receivedAt = BootClock::now()](const wire::OperatorReply &reply) {
                      logOrder(exchange->request(), order, reply, BootClock::now() - receivedAt);
                      if (reply.status() == wire::OPERATOR_STATUS_NOT_LEADER) {
                          exchange->answer(protocol.redirect(exchange->request(), this->leaderOrderAddress()));
                          return;
                      }
                      exchange->answer(protocol.write(order, reply));
                  });
}

std::string ControlProcess::leaderOrderAddress() const
{
    const std::string control = this->node->isLeader() ? std::string() : this->node->leaderControlAddress();
    if (control.empty()) {
        return {};
    }
    return endpoint(control.substr(0, control.rfind(':')), this->settings.orderPort);
}

void ControlProcess::operate(const wire::OperatorRequest &request,
                             const std::function<void(wire::OperatorReply)> &answer)
{
    if (!this->node->isLeader()) {
        answer(this->notLeader());
        return;
    }
    const bool isChange = request.has_put_table() || request.has_mark() || request.has_put_routes();
    if (isChange && this->membershipManager && !this->membershipManager->canAcknowledge()) {
        wire::OperatorReply notReady = this->notLeader();
        notReady.clear_leader_address();
        answer(std::move(notReady));
        return;
    }
    wire::Command command;
    switch (request.body_case()) {
    case wire::OperatorRequest::kPutRoutes:
        *command.mutable_put_routes() = request.put_routes();
        command.mutable_put_routes()->mutable_table()->set_digest_key(newDigestKey());
        this->change(std::move(command), answer);
        break;
    case wire::OperatorRequest::kPutTable:
        *command.mutable_put_table() = request.put_table();
        this->change(std::move(command), answer);
        break;
    case wire::OperatorRequest::kMark:
        *command.mutable_mark() = request.mark();
        this->change(std::move(command), answer);
        break;
    case wire::OperatorRequest::kChangeMember:
        this->changeMember(request.change_member(), answer);
        break;
    default:
        this->read(request, answer);
    }
}

void ControlProcess::change(wire::Command command, const std::function<void(wire::OperatorReply)> &answer)
{
    stamp(command);
    this->node->propose(command.SerializeAsString(), [this, answer](const ProposeResult &result) {
        answer(result.kind == ProposeOutcome::Applied ? resultOf(result).operator_reply() : this->replyTo(result));
    });
}

void ControlProcess::changeMember(const wire::ChangeMember &change,
                                  const std::function<void(wire::OperatorReply)> &answer)
{
    this->node->changeMembership(change, [this, answer](const ProposeResult &result) {
        wire::OperatorReply reply = this->replyTo(result);
        *reply.mutable_membership() = this->node->membership();
        answer(std::move(reply));
    });
}

void ControlProcess::read(const wire::OperatorRequest &request, const std::function<void(wire::OperatorReply)> &answer)
{
    this->node->confirmLeadership([this, request, answer](bool leads) {
        if (!leads) {
            answer(this->notLeader());
            return;
        }
        if (request.has_list_members()) {
            wire::OperatorReply members;
            *members.mutable_membership() = this->node->membership();
            answer(std::move(members));
            return;
        }
        wire::OperatorReply reply = control::answerRead(this->state, this->coordinator, request, BootClock::now());
        if (reply.has_report()) {
            *reply.mutable_report()->mutable_membership() = this->node->membership();
            reply.mutable_report()->set_leader(this->node->leaderId());
            reply.mutable_report()->set_term(this->node->term());
        }
        answer(std::move(reply));
    });
}

wire::OperatorReply ControlProcess::replyTo(const ProposeResult &result) const
{
    wire::OperatorReply reply;
    switch (result.kind) {
    case ProposeOutcome::Applied:
        *reply.mutable_version() = result.version;
        return reply;
    case ProposeOutcome::NotLeader:
        return this->notLeader();
    case ProposeOutcome::Unknown:
        reply.set_status(wire::OPERATOR_STATUS_UNKNOWN);
        reply.set_leader_address(this->node->leaderControlAddress());
        break;
    case ProposeOutcome::Refused:
        reply.set_status(wire::OPERATOR_STATUS_REFUSED);
        break;
    }
    for (const Finding &finding : result.findings) {
        wire::FindingText &text = *reply.add_findings();
        text.set_place(finding.place);
        text.set_message(finding.message);
        text.set_remedy(finding.remedy);
    }
    return reply;
}

wire::OperatorReply ControlProcess::notLeader() const
{
    wire::OperatorReply reply;
    reply.set_status(wire::OPERATOR_STATUS_NOT_LEADER);
    reply.set_leader_address(this->node->leaderControlAddress());
    return reply;
}

} // namespace bergamotweir::process
