#include "rpc/ReplicaConnections.h"

#include <algorithm>

namespace bergamotweir::rpc {

namespace {

/** Set-up takes at least one one-way delay and an answer takes two; doubled to allow for varying queues on the link. */
constexpr int AnswerTimePerSetUp = 4;
constexpr std::chrono::milliseconds MaxAnswerTime{2000};

} // namespace

ReplicaConnections::ReplicaConnections(loop::EventLoop &loop)
    : loop(loop)
{
}

void ReplicaConnections::connectAll(const std::vector<std::string> &addresses, BootTime now)
{
    for (const std::string &address : addresses) {
        this->ready(address, now);
    }
}

std::shared_ptr<FrameSocket> ReplicaConnections::ready(const std::string &address, BootTime now)
{
    return this->connections.try_emplace(address, this->loop, address, now).first->second.ready(now);
}

std::chrono::nanoseconds ReplicaConnections::setUpTime(const std::string &address) const
{
    const auto found = this->connections.find(address);
    return found == this->connections.end() ? std::chrono::nanoseconds(0) : found->second.setUpTime();
}

std::chrono::nanoseconds ReplicaConnections::maxAnswerTime(const std::string &address) const
{
    return std::min<std::chrono::nanoseconds>(this->setUpTime(address) * AnswerTimePerSetUp, MaxAnswerTime);
}

void ReplicaConnections::closeReadyBefore(BootTime time)
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
