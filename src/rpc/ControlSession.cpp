#include "rpc/ControlSession.h"

#include "loop/Log.h"
#include "rpc/FrameSocket.h"
#include "rpc/PackedMessage.h"
#include "rpc/ReplicaConnections.h"

#include <algorithm>
#include <utility>

namespace bergamotweir::rpc {

namespace {

/** Maximum size in bytes of the messages that wait to be sent; above it the session ends, so that memory is bounded. */
constexpr std::size_t MaxQueuedBytes = std::size_t{1024} * 1024;

/** Number of replicas that connections are set up to at first, and that are added after each WidenInterval. */
constexpr std::size_t SearchBreadth = 3;
constexpr std::chrono::milliseconds WidenInterval{200};

/** How long to wait for the connection to the least recently asked replica before another one is asked again. */
constexpr std::chrono::milliseconds RepeatDelay{300};

constexpr loop::Log Log("session");

} // namespace

ControlSession::ControlSession(loop::EventLoop &loop,
                               std::vector<std::string> addresses,
                               ControlSessionEvents events,
                               ControlSessionTimeouts timeouts)
    : loop(loop)
    , addresses(std::move(addresses))
    , events(std::move(events))
    , timeouts(timeouts)
    , connections(std::make_unique<ReplicaConnections>(loop))
    , random(timeouts.seed)
    , firstAddress(this->random(static_cast<std::uint32_t>(this->addresses.size())))
    , handledMessageAt(BootClock::now())
    , searchBegunAt(this->handledMessageAt)
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
    if (this->socket) {
        this->socket->setEvents({});
    }
}

void ControlSession::send(const wire::AgentMessage &message)
{
    if (!this->socket) {
        return;
    }
    if (this->socket->queuedBytes() > MaxQueuedBytes) {
        this->logDisconnect("does not read");
        this->handleEnd(false);
        return;
    }
    this->socket->send(makeFrame(message));
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

BootTime ControlSession::lastMessageAt() const
{
    return this->handledMessageAt;
}

bool ControlSession::isAvoided(const std::string &address) const
{
    return address == this->avoidedAddress && BootClock::now() < this->avoidedUntil;
}

/** Asks the next replica whose connection is ready, without waiting for connections that are not. */
void ControlSession::askNextReplica()
{
    const BootTime now = BootClock::now();
    this->connections->connectAll(this->searchedAddresses(now), now);
    if (auto replica = this->chooseReady(now)) {
        this->connect(std::move(replica));
        return;
    }
    this->askTimer = this->loop.after(ReplicaConnections::PollInterval, [this] {
        this->askNextReplica();
    });
}

/**
 * Returns the replicas that connections are set up to: a few, as any of them names the leader; more when these do not
 * answer. With connections to all, a control group would accept one connection from each agent at each replica at once
 * whenever its leader changes.
 */
std::vector<std::string> ControlSession::searchedAddresses(BootTime now) const
{
    const auto widenings = static_cast<std::size_t>((now - this->searchBegunAt) / WidenInterval);
    const std::size_t count = std::min(this->addresses.size(), SearchBreadth * (widenings + 1));
    std::vector<std::string> searched;
    for (std::size_t offset = 0; offset < count; ++offset) {
        searched.push_back(this->addresses[(this->firstAddress + offset) % this->addresses.size()]);
    }
    if (!this->redirectTarget.empty()) {
        searched.push_back(this->redirectTarget);
    }
    return searched;
}

/** Sets the current address to the replica to ask now. @return its connection; nullptr if there is none to ask yet */
std::shared_ptr<FrameSocket> ControlSession::chooseReady(BootTime now)
{
    if (!this->redirectTarget.empty() && !this->isAvoided(this->redirectTarget)) {
        if (auto replica = this->connections->ready(this->redirectTarget, now)) {
            this->currentAddress = std::exchange(this->redirectTarget, {});
            return replica;
        }
    }
    std::string chosen;
    std::shared_ptr<FrameSocket> replica;
    BootTime oldestAskedAt = BootTime::max();
    for (const std::string &address : this->searchedAddresses(now)) {
        if (this->isAvoided(address) && this->addresses.size() > 1) {
            continue;
        }
        oldestAskedAt = std::min(oldestAskedAt, this->askedAt[address]);
        auto ready = this->connections->ready(address, now);
        if (ready && (chosen.empty() || this->askedAt[address] < this->askedAt[chosen])) {
            chosen = address;
            replica = std::move(ready);
        }
    }
    // The connection to the least recently asked replica may become ready within RepeatDelay.
    const bool isRepeat = !chosen.empty() && this->askedAt[chosen] > oldestAskedAt;
    if (chosen.empty() || (isRepeat && now < this->disconnectedAt + RepeatDelay)) {
        return nullptr;
    }
    this->currentAddress = chosen;
    return replica;
}

std::chrono::nanoseconds ControlSession::currentOpenTimeout() const
{
    const std::chrono::nanoseconds expected = this->connections->maxAnswerTime(this->currentAddress);
    return std::max<std::chrono::nanoseconds>(exponentialDelay(this->timeouts.openTimeout, this->unansweredRequests),
                                              expected);
}

void ControlSession::connect(std::shared_ptr<FrameSocket> replica)
{
    this->disconnect(false);
    const SessionId id = ++this->session;
    this->accepted = false;
    this->lastReceivedAt = BootClock::now();
    this->searchStartedAt = this->lastReceivedAt;
    this->askedAt[this->currentAddress] = this->searchStartedAt;
    Log.event(loop::LogLevel::Info, "session sought")
        .with("replica", this->currentAddress)
        .with("setup_ms", this->connections->setUpTime(this->currentAddress))
        .with("failures", this->failures);
    this->socket = std::move(replica);
    this->socket->setEvents({.frame =
                                 [this, id](std::string_view payload) {
                                     this->handleFrame(id, payload);
                                 },
                             .closed =
                                 [this] {
                                     this->logDisconnect("connection closed");
                                     this->handleEnd(false);
                                 }});
    wire::AgentMessage first;
    *first.mutable_hello() = this->events.hello();
    this->socket->send(makeFrame(first));
    this->loop.after(this->currentOpenTimeout(), [this, aliveToken = std::weak_ptr<bool>(this->alive), id] {
        if (!aliveToken.expired()) {
            this->checkOpenTimeout(id);
        }
    });
}

// Guards against a long time without a leader while some VMs are down: with the silence time-out of an open session for
// each of them, agents that asked two such VMs in a row served outdated routes for seven seconds.
void ControlSession::checkOpenTimeout(SessionId id)
{
    if (id == this->session && this->socket && !this->opened && !this->accepted) {
        this->logDisconnect("no answer");
        ++this->unansweredRequests;
        this->connections->closeReadyBefore(this->searchStartedAt);
        this->handleEnd(false);
    }
}

/** Ends the session. @param keepsConnection whether another session may begin on the same connection */
void ControlSession::disconnect(bool keepsConnection)
{
    if (!this->socket) {
        return;
    }
    this->disconnectedAt = BootClock::now();
    this->socket->setEvents({});
    if (!keepsConnection) {
        this->socket->close();
    }
    this->socket.reset();
    if (this->opened) {
        this->opened = false;
        this->searchBegunAt = this->disconnectedAt;
        this->firstAddress = this->random(static_cast<std::uint32_t>(this->addresses.size()));
        this->events.closed(this->session);
    }
}

/** Asks the leader that the current replica named; after a backoff if the connection to it is not ready. */
void ControlSession::followRedirect(const std::string &leader)
{
    this->redirectTarget = leader;
    if (!this->connections->ready(leader, BootClock::now())) {
        this->logDisconnect("names a leader without a connection");
        this->handleEnd(true);
        return;
    }
    this->disconnect(true);
    this->askNextReplica();
}

void ControlSession::handleFrame(SessionId id, std::string_view payload)
{
    wire::ControlMessage message;
    if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size())) || !unpack(message)) {
        Log.error("received a message that cannot be decoded; closing the session");
        this->handleEnd(false);
        return;
    }
    if (id == this->session && this->socket) {
        this->handleMessage(std::move(message));
    }
}

void ControlSession::handleMessage(wire::ControlMessage message)
{
    this->lastReceivedAt = BootClock::now();
    this->handledMessageAt = this->lastReceivedAt;
    this->unansweredRequests = 0;
    if (message.has_redirect()) {
        const std::string leader = message.redirect().leader_address();
        if (leader.empty() || leader == this->currentAddress || this->isAvoided(leader)) {
            this->logDisconnect(leader.empty() ? "knows no leader" : "names an unusable leader");
            this->handleEnd(true);
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
        this->events.opened(this->session);
    }
    this->events.message(this->session, std::move(message));
}

void ControlSession::logDisconnect(const char *why) const
{
    Log.event(loop::LogLevel::Warn, "replica left")
        .with("replica", this->currentAddress)
        .with("why", why)
        .with("opened", this->opened)
        .with("accepted", this->accepted)
        .with("silent_ms", BootClock::now() - this->lastReceivedAt)
        .with("no_bytes_ms", BootClock::now() - this->lastByteAt())
        .with("unread_bytes", static_cast<std::uint64_t>(this->socket ? this->socket->unreadBytes() : 0))
        .with("took_ms", BootClock::now() - this->searchStartedAt);
}

/** Ends the session and searches for the leader after a backoff. */
void ControlSession::handleEnd(bool keepsConnection)
{
    this->failures += this->opened ? 0 : 1;
    this->disconnect(keepsConnection);
    this->loop.cancel(this->askTimer);
    const auto backoff = nextBackoff(this->timeouts.retryBackoff, std::max(this->failures, 1U), this->random);
    this->askTimer = this->loop.after(backoff, [this] {
        this->askNextReplica();
    });
}

/** @return when the last byte arrived, as a large message takes long over a slow link; the request's time if none has
 */
BootTime ControlSession::lastByteAt() const
{
    return this->socket ? std::max(this->lastReceivedAt, this->socket->lastReceivedAt()) : this->lastReceivedAt;
}

bool ControlSession::isSilent(BootTime now) const
{
    std::chrono::nanoseconds limit = this->timeouts.silenceTimeout;
    if (!this->opened) {
        limit = std::max(limit, this->connections->maxAnswerTime(this->currentAddress));
    }
    return now - this->lastByteAt() >= limit;
}

// Guards against a leader that is frozen or partitioned: its TCP connection stays up without any message, so the
// agent's lease would expire although another leader was elected long ago. Every renewal is answered, hence silence for
// longer than two renewals means that this replica cannot confirm that it is the leader.
void ControlSession::checkSilence()
{
    const BootTime now = BootClock::now();
    const bool stateIsLate = !this->opened && now - this->searchStartedAt >= this->timeouts.stateTimeout;
    if (!this->socket || (!this->isSilent(now) && !stateIsLate)) {
        return;
    }
    this->logDisconnect(stateIsLate ? "no full state" : "silent");
    this->connections->closeReadyBefore(std::max(this->searchStartedAt, this->lastReceivedAt));
    this->avoidedAddress = this->currentAddress;
    this->avoidedUntil = now + this->timeouts.avoidFor;
    this->handleEnd(false);
}

} // namespace bergamotweir::rpc
