#include "rpc/ReplicaConnections.h"

#include <algorithm>

namespace bergamotweir::rpc {

namespace {

/** Set-up takes one way at least, an answer both ways; as much again for a queue on the link that changes. */
constexpr int AnswerPerSetUp = 4;
constexpr std::chrono::milliseconds LongestAnswer{2000};

} // namespace

void ReplicaConnections::setUp(const std::vector<std::string> &addresses, BootTime now)
{
    for (const std::string &address : addresses) {
        this->ready(address, now);
    }
}

std::shared_ptr<wire::Control::Stub> ReplicaConnections::ready(const std::string &address, BootTime now)
{
    return this->connections.try_emplace(address, this->poller, address, now).first->second.ready(now);
}

std::chrono::nanoseconds ReplicaConnections::setUpTime(const std::string &address) const
{
    const auto found = this->connections.find(address);
    return found == this->connections.end() ? std::chrono::nanoseconds(0) : found->second.setUpTime();
}

std::chrono::nanoseconds ReplicaConnections::answerTime(const std::string &address) const
{
    return std::min<std::chrono::nanoseconds>(this->setUpTime(address) * AnswerPerSetUp, LongestAnswer);
}

void ReplicaConnections::dropReadyBefore(BootTime time)
{
    std::erase_if(this->connections, [time](const auto &entry) {
        return entry.second.readySince() <= time;
    });
}

void ReplicaConnections::keepOnly(const std::string &address)
{
    std::erase_if(this->connections, [&address](const auto &entry) {
        return entry.first != address;
    });
}

} // namespace bergamotweir::rpc
