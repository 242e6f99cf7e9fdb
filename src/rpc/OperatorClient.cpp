#include "rpc/OperatorClient.h"

#include "base/BootClock.h"
#include "control.grpc.pb.h"
#include "rpc/Channel.h"

#include <grpcpp/channel.h>

#include <algorithm>
#include <thread>

namespace bergamotweir::rpc {

namespace {

constexpr std::chrono::milliseconds LongestConnect{300};
constexpr std::chrono::milliseconds LongestTry{2000};
constexpr std::chrono::milliseconds PauseBetweenTries{50};

/** How one try at one replica went. */
struct Try {
    bool sent = false;
    bool answered = false;
    wire::OperatorReply reply;
};

std::chrono::system_clock::time_point wallDeadline(std::chrono::nanoseconds left, std::chrono::milliseconds most)
{
    const auto used = std::min<std::chrono::nanoseconds>(left, most);
    return std::chrono::system_clock::now() + std::chrono::duration_cast<std::chrono::microseconds>(used);
}

Try tryReplica(const std::string &address, const wire::OperatorRequest &request, BootTime deadline)
{
    Try result;
    const std::shared_ptr<grpc::Channel> channel = openChannel(address);
    if (!channel->WaitForConnected(wallDeadline(deadline - BootClock::now(), LongestConnect))) {
        return result;
    }
    grpc::ClientContext context;
    context.set_deadline(wallDeadline(deadline - BootClock::now(), LongestTry));
    result.sent = true;
    result.answered = wire::Control::NewStub(channel)->Operate(&context, request, &result.reply).ok();
    return result;
}

wire::OperatorReply
givenUp(wire::OperatorStatus status, const std::vector<std::string> &addresses, const std::string &message)
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
    bool maybeReceived = false;
    while (BootClock::now() < deadline) {
        const Try result = tryReplica(target, request, deadline);
        const bool notLeader = result.answered && result.reply.status() == wire::OPERATOR_STATUS_NOT_LEADER;
        if (result.answered && !notLeader) {
            return result.reply;
        }
        maybeReceived = maybeReceived || (result.sent && !result.answered);
        const std::string leader = notLeader ? result.reply.leader_address() : std::string();
        if (!leader.empty() && leader != target) {
            target = leader;
            continue;
        }
        target = addresses[next++ % addresses.size()];
        std::this_thread::sleep_for(PauseBetweenTries);
    }
    if (maybeReceived) {
        return givenUp(wire::OPERATOR_STATUS_UNKNOWN, addresses, "no answer in time; the outcome is not known");
    }
    return givenUp(wire::OPERATOR_STATUS_REFUSED, addresses, "no leader could be reached in time");
}

} // namespace bergamotweir::rpc
