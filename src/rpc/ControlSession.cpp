#include "rpc/ControlSession.h"

#include "control.grpc.pb.h"
#include "loop/Log.h"
#include "rpc/PackedMessage.h"
#include "rpc/ReplicaConnections.h"

#include <grpcpp/channel.h>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>

namespace bergamotweir::rpc {

namespace {

/** Maximum number of messages that wait to be sent; above it the session is cancelled, so that memory is bounded. */
constexpr std::size_t MaxQueuedMessages = 4096;

/** How long to wait for the connection to the least recently asked replica before another one is asked again. */
constexpr std::chrono::milliseconds RepeatDelay{300};

constexpr loop::Log Log("session");

} // namespace

/**
 * One gRPC stream. Its callbacks run on gRPC's threads; received messages are posted to the loop.
 * Owned by the session alone, which frees it on the loop's thread after OnDone(): gRPC aborts the process if the last
 * reference to a channel is released on one of its callback threads (a reference count check failed in its callback
 * queue at one start in fifteen under load).
 */
class ControlSession::Stream : public grpc::ClientBidiReactor<wire::AgentMessage, wire::ControlMessage>
{
public:
    Stream(std::shared_ptr<wire::Control::Stub> stub,
           std::function<void(wire::ControlMessage)> received,
           std::function<void()> ended)
        : stub(std::move(stub))
        , received(std::move(received))
        , ended(std::move(ended))
    {
    }

    void start(const wire::AgentMessage &first)
    {
        this->stub->async()->Session(&this->context, this);
        this->AddHold();
        this->send(first);
        this->StartRead(&this->incoming);
        this->StartCall();
    }

    void send(const wire::AgentMessage &message)
    {
        const std::lock_guard guard(this->mutex);
        if (this->closing) {
            return;
        }
        this->outgoing.push_back(message);
        if (this->outgoing.size() > MaxQueuedMessages) {
            this->context.TryCancel();
        }
        this->writeNext();
    }

    void cancel()
    {
        {
            const std::lock_guard guard(this->mutex);
            if (this->closing) {
                return;
            }
            this->closing = true;
        }
        this->context.TryCancel();
        this->RemoveHold();
    }

    bool hasEnded()
    {
        const std::lock_guard guard(this->mutex);
        return this->isDone;
    }

    /** Waits until OnDone() has run; to be called only after cancel(). */
    void waitDone()
    {
        std::unique_lock guard(this->mutex);
        this->doneCondition.wait(guard, [this] {
            return this->isDone;
        });
    }

private:
    void OnReadDone(bool ok) override
    {
        if (!ok) {
            this->cancel();
            return;
        }
        if (!unpack(this->incoming)) {
            Log.error("received a packed message that cannot be decoded; closing the session");
            this->cancel();
            return;
        }
        this->received(std::move(this->incoming));
        this->incoming.Clear();
        this->StartRead(&this->incoming);
    }

    void OnWriteDone(bool ok) override
    {
        {
            const std::lock_guard guard(this->mutex);
            this->writing = false;
            this->outgoing.pop_front();
            if (ok) {
                this->writeNext();
            }
        }
        if (!ok) {
            this->cancel();
        }
    }

    void OnDone(const grpc::Status &) override
    {
        this->ended();
        const std::lock_guard guard(this->mutex);
        this->isDone = true;
        this->doneCondition.notify_all();
    }

    void writeNext()
    {
        if (this->writing || this->closing || this->outgoing.empty()) {
            return;
        }
        this->writing = true;
        this->StartWrite(&this->outgoing.front());
    }

    const std::shared_ptr<wire::Control::Stub> stub;
    grpc::ClientContext context;
    std::function<void(wire::ControlMessage)> received;
    std::function<void()> ended;
    wire::ControlMessage incoming;
    std::mutex mutex;
    std::condition_variable doneCondition;
    std::deque<wire::AgentMessage> outgoing;
    bool writing = false;
    bool closing = false;
    bool isDone = false;
};

ControlSession::ControlSession(loop::EventLoop &loop,
                               std::vector<std::string> addresses,
                               ControlSessionEvents events,
                               ControlSessionTimeouts timeouts)
    : loop(loop)
    , addresses(std::move(addresses))
    , events(std::move(events))
    , timeouts(timeouts)
    , connections(std::make_unique<ReplicaConnections>())
    , random(timeouts.seed)
    , firstAddress(this->random(static_cast<std::uint32_t>(this->addresses.size())))
    , alive(std::make_shared<bool>(true))
{
    this->silenceTimer = this->loop.every(this->timeouts.silenceTimeout / 4, [this] {
        this->checkSilence();
    });
    this->loop.post([this, aliveToken = std::weak_ptr<bool>(this->alive)] {
        if (!aliveToken.expired()) {
            this->askNextReplica();
        }
    });
}

ControlSession::~ControlSession()
{
    this->alive.reset();
    this->loop.cancel(this->silenceTimer);
    this->loop.cancel(this->askTimer);
    if (this->stream) {
        this->stream->cancel();
        this->cancelledStreams.push_back(std::move(this->stream));
    }
    for (const std::unique_ptr<Stream> &cancelled : this->cancelledStreams) {
        cancelled->waitDone();
    }
}

void ControlSession::send(const wire::AgentMessage &message)
{
    if (this->stream) {
        this->stream->send(message);
    }
}

void ControlSession::addAddresses(const std::vector<std::string> &replicas)
{
    for (const std::string &replica : replicas) {
        if (std::find(this->addresses.begin(), this->addresses.end(), replica) == this->addresses.end()) {
            this->addresses.push_back(replica);
        }
    }
}

bool ControlSession::isOpen() const
{
    return this->opened;
}

bool ControlSession::isAvoided(const std::string &address) const
{
    return address == this->avoidedAddress && BootClock::now() < this->avoidedUntil;
}

/** Asks the next replica whose connection is ready, without waiting for connections that are not. */
void ControlSession::askNextReplica()
{
    const BootTime now = BootClock::now();
    this->connections->connectAll(this->addresses, now);
    if (auto stub = this->chooseReady(now)) {
        this->connect(this->currentAddress, std::move(stub));
        return;
    }
    this->askTimer = this->loop.after(ReplicaConnections::PollInterval, [this] {
        this->askNextReplica();
    });
}

/** Sets the current address to the replica to ask now. @return its stub; nullptr if there is none to ask yet */
std::shared_ptr<wire::Control::Stub> ControlSession::chooseReady(BootTime now)
{
    if (!this->redirectTarget.empty() && !this->isAvoided(this->redirectTarget)) {
        if (auto stub = this->connections->readyStub(this->redirectTarget, now)) {
            this->currentAddress = std::exchange(this->redirectTarget, {});
            return stub;
        }
    }
    const std::string *chosen = nullptr;
    std::shared_ptr<wire::Control::Stub> stub;
    BootTime oldestAskedAt = BootTime::max();
    for (std::size_t offset = 0; offset < this->addresses.size(); ++offset) {
        const std::string &address = this->addresses[(this->firstAddress + offset) % this->addresses.size()];
        if (this->isAvoided(address) && this->addresses.size() > 1) {
            continue;
        }
        oldestAskedAt = std::min(oldestAskedAt, this->askedAt[address]);
        auto ready = this->connections->readyStub(address, now);
        if (ready && (chosen == nullptr || this->askedAt[address] < this->askedAt[*chosen])) {
            chosen = &address;
            stub = std::move(ready);
        }
    }
    // The connection to the least recently asked replica may become ready within RepeatDelay.
    const bool isRepeat = chosen != nullptr && this->askedAt[*chosen] > oldestAskedAt;
    if (chosen == nullptr || (isRepeat && now < this->disconnectedAt + RepeatDelay)) {
        return nullptr;
    }
    this->currentAddress = *chosen;
    return stub;
}

std::chrono::nanoseconds ControlSession::currentOpenTimeout() const
{
    const std::chrono::nanoseconds expected = this->connections->maxAnswerTime(this->currentAddress);
    return std::max<std::chrono::nanoseconds>(exponentialDelay(this->timeouts.openTimeout, this->unansweredRequests),
                                              expected);
}

void ControlSession::connect(const std::string &address, std::shared_ptr<wire::Control::Stub> stub)
{
    this->disconnect();
    const SessionId id = ++this->session;
    this->accepted = false;
    this->lastReceivedAt = BootClock::now();
    this->searchStartedAt = this->lastReceivedAt;
    this->askedAt[address] = this->searchStartedAt;
    const std::weak_ptr<bool> aliveToken = this->alive;
    Log.event(loop::LogLevel::Info, "session sought")
        .with("replica", address)
        .with("setup_ms", this->connections->setUpTime(address))
        .with("failures", this->failures);
    this->stream = std::make_unique<Stream>(
        std::move(stub),
        [this, aliveToken, id, &target = this->loop](wire::ControlMessage message) {
            target.post([this, aliveToken, id, message = std::move(message)]() mutable {
                if (!aliveToken.expired()) {
                    this->handleMessage(id, std::move(message));
                }
            });
        },
        [this, aliveToken, id, &target = this->loop] {
            target.post([this, aliveToken, id] {
                if (!aliveToken.expired()) {
                    this->streamEnded(id);
                }
            });
        });
    wire::AgentMessage first;
    *first.mutable_hello() = this->events.hello();
    this->stream->start(first);
    this->loop.after(this->currentOpenTimeout(), [this, aliveToken, id] {
        if (!aliveToken.expired()) {
            this->checkOpenTimeout(id);
        }
    });
}

// Guards against a long time without a leader while some VMs are down: with the silence time-out of an open session for
// each of them, agents that asked two such VMs in a row served outdated routes for seven seconds.
void ControlSession::checkOpenTimeout(SessionId id)
{
    if (id == this->session && this->stream && !this->opened && !this->accepted) {
        this->logDisconnect("no answer");
        ++this->unansweredRequests;
        this->connections->closeReadyBefore(this->searchStartedAt);
        this->handleEnd(id);
    }
}

void ControlSession::disconnect()
{
    if (!this->stream) {
        return;
    }
    this->disconnectedAt = BootClock::now();
    this->stream->cancel();
    this->freeEndedStreams();
    this->cancelledStreams.push_back(std::move(this->stream));
    this->stream.reset();
    if (this->opened) {
        this->opened = false;
        this->events.closed(this->session);
    }
}

/** Asks the leader that the current replica named; after a backoff if the connection to it is not ready. */
void ControlSession::followRedirect(const std::string &leader)
{
    this->redirectTarget = leader;
    if (!this->connections->readyStub(leader, BootClock::now())) {
        this->logDisconnect("names a leader without a connection");
        this->handleEnd(this->session);
        return;
    }
    this->disconnect();
    this->askNextReplica();
}

void ControlSession::handleMessage(SessionId id, wire::ControlMessage message)
{
    if (id != this->session || !this->stream) {
        return;
    }
    this->lastReceivedAt = BootClock::now();
    this->unansweredRequests = 0;
    if (message.has_redirect()) {
        const std::string leader = message.redirect().leader_address();
        if (leader.empty() || leader == this->currentAddress || this->isAvoided(leader)) {
            this->logDisconnect(leader.empty() ? "knows no leader" : "names an unusable leader");
            this->handleEnd(id);
            return;
        }
        this->followRedirect(leader);
        return;
    }
    if (message.has_accepted()) {
        this->accepted = true;
        return;
    }
    if (!this->opened) {
        this->opened = true;
        Log.event(loop::LogLevel::Info, "session open")
            .with("replica", this->currentAddress)
            .with("took_ms", this->lastReceivedAt - this->searchStartedAt);
        this->failures = 0;
        this->redirectTarget.clear();
        this->connections->keepOnly(this->currentAddress);
        this->events.opened(id);
    }
    this->events.message(id, std::move(message));
}

void ControlSession::freeEndedStreams()
{
    std::erase_if(this->cancelledStreams, [](const std::unique_ptr<Stream> &cancelled) {
        return cancelled->hasEnded();
    });
}

void ControlSession::logDisconnect(const char *why) const
{
    Log.event(loop::LogLevel::Warn, "replica left")
        .with("replica", this->currentAddress)
        .with("why", why)
        .with("opened", this->opened)
        .with("accepted", this->accepted)
        .with("silent_ms", BootClock::now() - this->lastReceivedAt)
        .with("took_ms", BootClock::now() - this->searchStartedAt);
}

void ControlSession::streamEnded(SessionId id)
{
    if (id == this->session && this->stream) {
        this->logDisconnect("stream ended");
    }
    this->handleEnd(id);
}

void ControlSession::handleEnd(SessionId id)
{
    // The end of a cancelled stream is reported after the next session may have started.
    if (id != this->session || !this->stream) {
        return;
    }
    this->failures += this->opened ? 0 : 1;
    this->disconnect();
    this->loop.cancel(this->askTimer);
    const auto backoff = nextBackoff(this->timeouts.retryBackoff, std::max(this->failures, 1U), this->random);
    this->askTimer = this->loop.after(backoff, [this] {
        this->askNextReplica();
    });
}

/** @return how long the replica may send nothing; while the full state is awaited, longer after each failure */
std::chrono::milliseconds ControlSession::maxSilence() const
{
    if (this->opened || !this->accepted) {
        return this->timeouts.silenceTimeout;
    }
    return exponentialDelay(
        {this->timeouts.silenceTimeout, std::max(this->timeouts.silenceTimeout, this->timeouts.maxSilence)},
        this->failures);
}

// Guards against a leader that is frozen or partitioned: its TCP connection stays up without any message, so the
// agent's lease would expire although another leader was elected long ago. Every renewal is answered, hence silence for
// longer than two renewals means that this replica cannot confirm that it is the leader.
void ControlSession::checkSilence()
{
    this->freeEndedStreams();
    if (!this->stream || BootClock::now() - this->lastReceivedAt < this->maxSilence()) {
        return;
    }
    this->logDisconnect("silent");
    this->connections->closeReadyBefore(std::max(this->searchStartedAt, this->lastReceivedAt));
    this->avoidedAddress = this->currentAddress;
    this->avoidedUntil = BootClock::now() + this->timeouts.avoidFor;
    this->handleEnd(this->session);
}

} // namespace bergamotweir::rpc
