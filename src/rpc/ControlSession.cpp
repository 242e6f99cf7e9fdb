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

// An agent that cannot get rid of its messages starts a new session rather than growing.
constexpr std::size_t MaxQueuedMessages = 4096;

/** How long a replica that is due is waited for before one that was asked since is asked again. */
constexpr std::chrono::milliseconds RepeatAfter{300};

constexpr loop::Log Log("session");

} // namespace

/**
 * One gRPC stream. gRPC calls it on its own threads; what it hears is posted to the loop.
 * Owned by the session alone, which frees it on the loop's thread once gRPC is done with it: a channel whose last
 * reference goes on one of gRPC's callback threads makes gRPC abort the process (a failed reference count in its
 * callback queue, one start in fifteen under load).
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

    /** Waits until gRPC is done; only after cancel(). */
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
            Log.error("a packed message can't be read; the session ends");
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
    this->loop.post([this, life = std::weak_ptr<bool>(this->alive)] {
        if (!life.expired()) {
            this->seek();
        }
    });
}

ControlSession::~ControlSession()
{
    this->alive.reset();
    this->loop.cancel(this->silenceTimer);
    this->loop.cancel(this->seekTimer);
    if (this->stream) {
        this->stream->cancel();
        this->leaving.push_back(std::move(this->stream));
    }
    for (const std::unique_ptr<Stream> &left : this->leaving) {
        left->waitDone();
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

/** Asks the next replica whose connection is ready; one whose connection isn't costs no time. */
void ControlSession::seek()
{
    const BootTime now = BootClock::now();
    this->connections->setUp(this->addresses, now);
    if (auto stub = this->chooseReady(now)) {
        this->connect(this->currentAddress, std::move(stub));
        return;
    }
    this->seekTimer = this->loop.after(ReplicaConnections::PollInterval, [this] {
        this->seek();
    });
}

/** @return the stub of the replica to ask now, whose address is the current one; nullptr while none is ready */
std::shared_ptr<wire::Control::Stub> ControlSession::chooseReady(BootTime now)
{
    if (!this->namedLeader.empty() && !this->isAvoided(this->namedLeader)) {
        if (auto stub = this->connections->ready(this->namedLeader, now)) {
            this->currentAddress = std::exchange(this->namedLeader, {});
            return stub;
        }
    }
    const std::string *chosen = nullptr;
    std::shared_ptr<wire::Control::Stub> stub;
    BootTime longestAgo = BootTime::max();
    for (std::size_t place = 0; place < this->addresses.size(); ++place) {
        const std::string &address = this->addresses[(this->firstAddress + place) % this->addresses.size()];
        if (this->isAvoided(address) && this->addresses.size() > 1) {
            continue;
        }
        longestAgo = std::min(longestAgo, this->askedAt[address]);
        auto ready = this->connections->ready(address, now);
        if (ready && (chosen == nullptr || this->askedAt[address] < this->askedAt[*chosen])) {
            chosen = &address;
            stub = std::move(ready);
        }
    }
    // The connection of the one that is due may be ready in a moment.
    const bool repeats = chosen != nullptr && this->askedAt[*chosen] > longestAgo;
    if (chosen == nullptr || (repeats && now < this->leftAt + RepeatAfter)) {
        return nullptr;
    }
    this->currentAddress = *chosen;
    return stub;
}

std::chrono::nanoseconds ControlSession::currentOpenTimeout() const
{
    const std::chrono::nanoseconds expected = this->connections->answerTime(this->currentAddress);
    return std::max<std::chrono::nanoseconds>(exponentialDelay(this->timeouts.openTimeout, this->unanswered), expected);
}

void ControlSession::connect(const std::string &address, std::shared_ptr<wire::Control::Stub> stub)
{
    this->disconnect();
    const SessionId name = ++this->session;
    this->accepted = false;
    this->lastHeard = BootClock::now();
    this->searchStartedAt = this->lastHeard;
    this->askedAt[address] = this->searchStartedAt;
    const std::weak_ptr<bool> life = this->alive;
    Log.event(loop::LogLevel::Info, "session sought")
        .with("replica", address)
        .with("setup_ms", this->connections->setUpTime(address))
        .with("failures", this->failures);
    this->stream = std::make_unique<Stream>(
        std::move(stub),
        [this, life, name, &target = this->loop](wire::ControlMessage message) {
            target.post([this, life, name, message = std::move(message)]() mutable {
                if (!life.expired()) {
                    this->received(name, std::move(message));
                }
            });
        },
        [this, life, name, &target = this->loop] {
            target.post([this, life, name] {
                if (!life.expired()) {
                    this->streamEnded(name);
                }
            });
        });
    wire::AgentMessage first;
    *first.mutable_hello() = this->events.hello();
    this->stream->start(first);
    this->loop.after(this->currentOpenTimeout(), [this, life, name] {
        if (!life.expired()) {
            this->checkOpening(name);
        }
    });
}

// Guards against a long time without a leader while some VMs are down: each of them takes the silence that an open
// session may have, and agents that met two in a row served their old routes for seven seconds.
void ControlSession::checkOpening(SessionId name)
{
    if (name == this->session && this->stream && !this->opened && !this->accepted) {
        this->logDisconnect("no answer");
        ++this->unanswered;
        this->connections->dropReadyBefore(this->searchStartedAt);
        this->ended(name);
    }
}

void ControlSession::disconnect()
{
    if (!this->stream) {
        return;
    }
    this->leftAt = BootClock::now();
    this->stream->cancel();
    this->freeEndedStreams();
    this->leaving.push_back(std::move(this->stream));
    this->stream.reset();
    if (this->opened) {
        this->opened = false;
        this->events.closed(this->session);
    }
}

/** Asks the leader that the present replica named; where its connection isn't ready, after a pause. */
void ControlSession::follow(const std::string &leader)
{
    this->namedLeader = leader;
    if (!this->connections->ready(leader, BootClock::now())) {
        this->logDisconnect("names a leader without a connection");
        this->ended(this->session);
        return;
    }
    this->disconnect();
    this->seek();
}

void ControlSession::received(SessionId name, wire::ControlMessage message)
{
    if (name != this->session || !this->stream) {
        return;
    }
    this->lastHeard = BootClock::now();
    this->unanswered = 0;
    if (message.has_redirect()) {
        const std::string leader = message.redirect().leader_address();
        if (leader.empty() || leader == this->currentAddress || this->isAvoided(leader)) {
            this->logDisconnect(leader.empty() ? "knows no leader" : "names an unusable leader");
            this->ended(name);
            return;
        }
        this->follow(leader);
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
            .with("took_ms", this->lastHeard - this->searchStartedAt);
        this->failures = 0;
        this->namedLeader.clear();
        this->connections->keepOnly(this->currentAddress);
        this->events.opened(name);
    }
    this->events.message(name, std::move(message));
}

void ControlSession::freeEndedStreams()
{
    std::erase_if(this->leaving, [](const std::unique_ptr<Stream> &left) {
        return left->hasEnded();
    });
}

void ControlSession::logDisconnect(const char *why) const
{
    Log.event(loop::LogLevel::Warn, "replica left")
        .with("replica", this->currentAddress)
        .with("why", why)
        .with("opened", this->opened)
        .with("accepted", this->accepted)
        .with("silent_ms", BootClock::now() - this->lastHeard)
        .with("took_ms", BootClock::now() - this->searchStartedAt);
}

void ControlSession::streamEnded(SessionId name)
{
    if (name == this->session && this->stream) {
        this->logDisconnect("stream ended");
    }
    this->ended(name);
}

void ControlSession::ended(SessionId name)
{
    // A stream that was left tells of its end later.
    if (name != this->session || !this->stream) {
        return;
    }
    this->failures += this->opened ? 0 : 1;
    this->disconnect();
    this->loop.cancel(this->seekTimer);
    const auto pause = nextBackoff(this->timeouts.retryBackoff, std::max(this->failures, 1U), this->random);
    this->seekTimer = this->loop.after(pause, [this] {
        this->seek();
    });
}

/** @return how long the replica may say nothing; a state that comes slowly is waited for longer after each failure */
std::chrono::milliseconds ControlSession::maxSilence() const
{
    if (this->opened || !this->accepted) {
        return this->timeouts.silenceTimeout;
    }
    return exponentialDelay(
        {this->timeouts.silenceTimeout, std::max(this->timeouts.silenceTimeout, this->timeouts.maxSilence)},
        this->failures);
}

// Guards against a leader that is frozen or behind a silent partition: its TCP connection stays up and nothing
// arrives, so the agent's lease would end although another leader was elected long ago. Every renewal is answered,
// hence silence longer than two renewals means that this replica cannot confirm itself.
void ControlSession::checkSilence()
{
    this->freeEndedStreams();
    if (!this->stream || BootClock::now() - this->lastHeard < this->maxSilence()) {
        return;
    }
    this->logDisconnect("silent");
    this->connections->dropReadyBefore(std::max(this->searchStartedAt, this->lastHeard));
    this->avoidedAddress = this->currentAddress;
    this->avoidedUntil = BootClock::now() + this->timeouts.avoidFor;
    this->ended(this->session);
}

} // namespace bergamotweir::rpc
