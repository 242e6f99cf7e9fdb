#include "rpc/ReplicaConnection.h"

#include "rpc/Channel.h"

#include <grpcpp/channel.h>

#include <utility>

namespace bergamotweir::rpc {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds PatientTimeout{4000};
constexpr milliseconds ImpatientTimeout{200};
/** A connection that isn't ready by then gets an impatient one beside it. */
constexpr milliseconds LateAfter{250};

} // namespace

ReplicaConnection::ReplicaConnection(ChannelPoller &poller, const std::string &address, BootTime now)
    : poller(poller)
    , address(address)
    , begunAt(now)
    , patient{openChannel(address, {.connectTimeout = PatientTimeout})}
{
    this->isReady(this->patient);
}

/** @return whether calls can be sent on it; otherwise it goes on connecting */
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

std::shared_ptr<wire::Control::Stub> ReplicaConnection::ready(BootTime now)
{
    if (this->isReady(this->patient)) {
        return this->chosen(this->patient, now);
    }
    if (this->impatient.channel && this->isReady(this->impatient)) {
        return this->chosen(this->impatient, now);
    }
    if (this->stub) {
        // The connection was ready and has ended.
        this->begunAt = now;
        this->readyAt = BootTime::max();
        this->stub.reset();
    }
    if (!this->impatient.channel && now - this->begunAt >= LateAfter) {
        this->impatient.channel = openChannel(this->address, {.connectTimeout = ImpatientTimeout});
        this->isReady(this->impatient);
    }
    return nullptr;
}

std::shared_ptr<wire::Control::Stub> ReplicaConnection::chosen(Attempt &attempt, BootTime now)
{
    if (!this->stub) {
        this->readyAt = now;
        this->stub = wire::Control::NewStub(attempt.channel);
        if (&attempt == &this->impatient) {
            std::swap(this->patient, this->impatient);
        }
        this->impatient = {};
    }
    return this->stub;
}

BootTime ReplicaConnection::readySince() const
{
    return this->readyAt;
}

std::chrono::nanoseconds ReplicaConnection::setUpTime() const
{
    return this->stub ? this->readyAt - this->begunAt : std::chrono::nanoseconds(0);
}

} // namespace bergamotweir::rpc
