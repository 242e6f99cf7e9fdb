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
constexpr milliseconds ShortAttemptDelay{250};

} // namespace

ReplicaConnection::ReplicaConnection(ChannelPoller &poller, const std::string &address, BootTime now)
    : poller(poller)
    , address(address)
    , connectStartedAt(now)
    , longAttempt{openChannel(address, {.connectTimeout = LongConnectTimeout})}
{
    this->isReady(this->longAttempt);
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
    if (this->isReady(this->longAttempt)) {
        return this->useAttempt(this->longAttempt, now);
    }
    if (this->shortAttempt.channel && this->isReady(this->shortAttempt)) {
        return this->useAttempt(this->shortAttempt, now);
    }
    if (this->stub) {
        // The connection was ready and has been lost.
        this->connectStartedAt = now;
        this->readyAt = BootTime::max();
        this->stub.reset();
    }
    if (!this->shortAttempt.channel && now - this->connectStartedAt >= ShortAttemptDelay) {
        this->shortAttempt.channel = openChannel(this->address, {.connectTimeout = ShortConnectTimeout});
        this->isReady(this->shortAttempt);
    }
    return nullptr;
}

std::shared_ptr<wire::Control::Stub> ReplicaConnection::useAttempt(Attempt &attempt, BootTime now)
{
    if (!this->stub) {
        this->readyAt = now;
        this->stub = wire::Control::NewStub(attempt.channel);
        if (&attempt == &this->shortAttempt) {
            std::swap(this->longAttempt, this->shortAttempt);
        }
        this->shortAttempt = {};
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
