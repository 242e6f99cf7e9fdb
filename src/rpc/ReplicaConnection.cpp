#include "rpc/ReplicaConnection.h"

#include "rpc/Channel.h"

#include <grpcpp/channel.h>

#include <utility>

namespace bergamotweir::rpc {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds LongConnectTimeout{4000};
constexpr milliseconds ShortConnectTimeout{200};
/** Time after which an attempt with the short time-out starts in parallel if the connection is not ready. */
constexpr milliseconds ParallelAttemptDelay{250};

} // namespace

ReplicaConnection::ReplicaConnection(ChannelPoller &poller, const std::string &address, BootTime now)
    : poller(poller)
    , address(address)
    , connectStartedAt(now)
    , primaryAttempt{openChannel(address, {.connectTimeout = LongConnectTimeout})}
{
    this->isReady(this->primaryAttempt);
}

/** Continues to connect the channel if it is not ready. @return whether calls can be sent on it */
bool ReplicaConnection::isReady(Attempt &attempt)
{
    const grpc_connectivity_state state = attempt.channel->GetState(true);
    if (state == GRPC_CHANNEL_READY) {
        return true;
    }
    if (!this->poller.isWatching(attempt.watch)) {
        attempt.watch = this->poller.watch(*attempt.channel, state);
    }
    return false;
}

std::shared_ptr<wire::Control::Stub> ReplicaConnection::readyStub(BootTime now)
{
    if (this->isReady(this->primaryAttempt)) {
        return this->useAttempt(this->primaryAttempt, now);
    }
    if (this->parallelAttempt.channel && this->isReady(this->parallelAttempt)) {
        return this->useAttempt(this->parallelAttempt, now);
    }
    if (this->stub) {
        // The connection was ready and has been lost.
        this->connectStartedAt = now;
        this->readyAt = BootTime::max();
        this->stub.reset();
    }
    if (!this->parallelAttempt.channel && now - this->connectStartedAt >= ParallelAttemptDelay) {
        this->parallelAttempt.channel = openChannel(this->address, {.connectTimeout = ShortConnectTimeout});
        this->isReady(this->parallelAttempt);
    }
    return nullptr;
}

std::shared_ptr<wire::Control::Stub> ReplicaConnection::useAttempt(Attempt &attempt, BootTime now)
{
    if (!this->stub) {
        this->readyAt = now;
        this->stub = wire::Control::NewStub(attempt.channel);
        if (&attempt == &this->parallelAttempt) {
            std::swap(this->primaryAttempt, this->parallelAttempt);
        }
        this->parallelAttempt = {};
    }
    return this->stub;
}

BootTime ReplicaConnection::readySince() const
{
    return this->readyAt;
}

std::chrono::nanoseconds ReplicaConnection::setUpTime() const
{
    return this->stub ? this->readyAt - this->connectStartedAt : std::chrono::nanoseconds(0);
}

} // namespace bergamotweir::rpc
