#include "rpc/ReplicaConnection.h"

#include "rpc/Channel.h"

#include <utility>

namespace bergamotweir::rpc {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds LongConnectTimeout{4000};
constexpr milliseconds ShortConnectTimeout{200};
/** Time after which an attempt with the short time-out starts in parallel if the connection is not ready. */
constexpr milliseconds ParallelAttemptDelay{250};
/** Low enough that a restarted replica is reached again well within the duration of a lease. */
constexpr BackoffSettings ReconnectBackoff{.first = milliseconds(20), .max = milliseconds(200)};

} // namespace

ReplicaConnection::ReplicaConnection(loop::EventLoop &loop, std::string address, BootTime now)
    : loop(loop)
    , address(std::move(address))
    , connectStartedAt(now)
{
    this->proceed(this->primaryAttempt, LongConnectTimeout, now);
}

ReplicaConnection::~ReplicaConnection()
{
    for (const Attempt *const attempt : {&this->primaryAttempt, &this->parallelAttempt}) {
        if (attempt->socket) {
            attempt->socket->close();
        }
    }
}

/** Replaces the socket of an attempt once it has failed or timed out, after a backoff. */
void ReplicaConnection::proceed(Attempt &attempt, std::chrono::milliseconds timeout, BootTime now)
{
    if (attempt.socket && (attempt.socket->isReady() || (!attempt.socket->isClosed() && now < attempt.deadline))) {
        return;
    }
    if (attempt.socket) {
        attempt.socket->close();
        attempt.socket.reset();
        attempt.retryAt = now + exponentialDelay(ReconnectBackoff, attempt.failures++);
    }
    if (now >= attempt.retryAt) {
        attempt.socket = FrameSocket::connect(this->loop, this->address, MaxMessageBytes);
        attempt.deadline = now + timeout;
    }
}

std::shared_ptr<FrameSocket> ReplicaConnection::ready(BootTime now)
{
    if (this->readyAt != BootTime::max() && !this->primaryAttempt.socket->isReady()) {
        // The connection was ready and has been lost.
        this->connectStartedAt = now;
        this->readyAt = BootTime::max();
    }
    this->proceed(this->primaryAttempt, LongConnectTimeout, now);
    if (this->readyAt == BootTime::max() && now - this->connectStartedAt >= ParallelAttemptDelay) {
        this->proceed(this->parallelAttempt, ShortConnectTimeout, now);
    }
    for (Attempt *const attempt : {&this->primaryAttempt, &this->parallelAttempt}) {
        if (attempt->socket && attempt->socket->isReady()) {
            return this->use(*attempt, now);
        }
    }
    return nullptr;
}

std::shared_ptr<FrameSocket> ReplicaConnection::use(Attempt &attempt, BootTime now)
{
    if (this->readyAt == BootTime::max()) {
        this->readyAt = now;
        if (&attempt == &this->parallelAttempt) {
            std::swap(this->primaryAttempt, this->parallelAttempt);
        }
        if (this->parallelAttempt.socket) {
            this->parallelAttempt.socket->close();
        }
        this->parallelAttempt = {};
        this->primaryAttempt.failures = 0;
    }
    return this->primaryAttempt.socket;
}

BootTime ReplicaConnection::readySince() const
{
    return this->readyAt;
}

std::chrono::nanoseconds ReplicaConnection::setUpTime() const
{
    return this->readyAt == BootTime::max() ? std::chrono::nanoseconds(0) : this->readyAt - this->connectStartedAt;
}

} // namespace bergamotweir::rpc
