#include "rpc/OperatorClient.h"

#include "base/BootClock.h"
#include "control.grpc.pb.h"
#include "rpc/Channel.h"

#include <grpcpp/channel.h>

#include <algorithm>
#include <thread>

namespace bergamotweir::rpc {

namespace {

constexpr std::chrono::milliseconds MaxConnectTime{300};
constexpr std::chrono::milliseconds MaxAttemptTime{2000};
constexpr std::chrono::milliseconds RetryBackoff{50};

/** Result of one attempt at one replica. */
struct Attempt {
    bool sent = false;
    bool answered = false;
    wire::OperatorReply reply;
};

std::chrono::system_clock::time_point wallDeadline(std::chrono::nanoseconds remaining, std::chrono::milliseconds limit)
{
    const auto waitTime = std::min<std::chrono::nanoseconds>(remaining, limit);
    return std::chrono::system_clock::now() + std::chrono::duration_cast<std::chrono::microseconds>(waitTime);
}

Attempt attemptReplica(const std::string &address, const wire::OperatorRequest &request, BootTime deadline)
{
    Attempt attempt;
    const std::shared_ptr<grpc::Channel> channel = openChannel(address);
    if (!channel->WaitForConnected(wallDeadline(deadline - BootClock::now(), MaxConnectTime))) {
        return attempt;
    }
    grpc::ClientContext context;
    context.set_deadline(wallDeadline(deadline - BootClock::now(), MaxAttemptTime));
    attempt.sent = true;
    attempt.answered = wire::Control::NewStub(channel)->Operate(&context, request, &attempt.reply).ok();
    return attempt;
}

wire::OperatorReply
failedReply(wire::OperatorStatus status, const std::vector<std::string> &addresses, const std::string &message)
{
    wire::OperatorReply reply;
    reply.set_status(status);
    wire::FindingText *finding = reply.add_findings();
    for (const std::string &address : addresses) {
        finding->set_place(finding->place() + (finding->place().empty() ? "control " : ", ") + address);
    }
    finding->set_message(message);
    return reply;
}

} // namespace

wire::OperatorReply callOperator(const std::vector<std::string> &addresses,
                                 const wire::OperatorRequest &request,
                                 std::chrono::milliseconds timeout)
{
    const BootTime deadline = BootClock::now() + timeout;
    std::string target = addresses.front();
    std::size_t next = 1;
    bool mayHaveBeenReceived = false;
    while (BootClock::now() < deadline) {
        const Attempt attempt = attemptReplica(target, request, deadline);
        const bool notLeader = attempt.answered && attempt.reply.status() == wire::OPERATOR_STATUS_NOT_LEADER;
        if (attempt.answered && !notLeader) {
            return attempt.reply;
        }
        mayHaveBeenReceived = mayHaveBeenReceived || (attempt.sent && !attempt.answered);
        const std::string leader = notLeader ? attempt.reply.leader_address() : std::string();
        if (!leader.empty() && leader != target) {
            target = leader;
            continue;
        }
        target = addresses[next++ % addresses.size()];
        std::this_thread::sleep_for(RetryBackoff);
    }
    if (mayHaveBeenReceived) {
        return failedReply(wire::OPERATOR_STATUS_UNKNOWN, addresses, "no answer in time; the outcome is not known");
    }
    return failedReply(wire::OPERATOR_STATUS_REFUSED, addresses, "no leader could be reached in time");
}

} // namespace bergamotweir::rpc
