#include "net/HttpClient.h"

#include "loop/EventLoop.h"
#include "net/ClientCall.h"
#include "net/ConnectionSockets.h"
#include "net/SocketSet.h"

#include <cassert>
#include <deque>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace bergamotweir::net {

namespace {

/** Handles kept for later calls; creating one takes several microseconds. */
constexpr std::size_t MaxIdleHandles = 256;

void initializeCurlOnce()
{
    static std::once_flag once;
    std::call_once(once, [] {
        curl_global_init(CURL_GLOBAL_DEFAULT);
    });
}

/** @return whether a connection of the handle's call failed; libcurl keeps its error across curl_easy_reset() */
bool hasSocketError(CURL *easy)
{
    long error = 0;
    return curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &error) != CURLE_OK || error != 0;
}

/** The calls to one peer: how many use a connection, and which ones wait for one. */
struct PeerCalls {
    unsigned activeCalls = 0;
    std::deque<CallId> waiting;
};

} // namespace

struct HttpClient::Parts {
    loop::EventLoop &loop;
    HttpClientSettings settings;
    SocketSet watchedSockets;
    ConnectionSockets sockets;
    CURLM *multi = nullptr;
    std::unordered_map<CallId, std::unique_ptr<ClientCall>> calls;
    std::vector<CURL *> idleHandles;
    std::unordered_map<std::string, PeerCalls> peers;
    std::size_t activeCalls = 0;
    /** Cancelled calls whose callback has not been called yet. */
    std::vector<std::unique_ptr<ClientCall>> cancelled;
    CallId lastCallId = 0;
    /** Destroyed with the client; posted tasks check it before they use the client. */
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    bool isDelivering = false;
    bool isDeliveryPosted = false;

    loop::TimerId timer = 0;
    BootTime timerAt;
    /** When libcurl has to be called; may be later than the timer. */
    BootTime libcurlDeadline;
    bool hasLibcurlDeadline = false;

    Parts(loop::EventLoop &loop, const HttpClientSettings &settings)
        : loop(loop)
        , settings(settings)
        , watchedSockets(loop,
                         [this](int socket, loop::Readiness ready) {
                             this->onReady(socket, ready);
                         })
        , sockets([this](int socket) {
            this->watchedSockets.remove(socket);
        })
    {
    }

    void createMulti();
    void runSocketAction(curl_socket_t socket, int events);
    void watch(curl_socket_t socket, int what);
    void onReady(curl_socket_t socket, loop::Readiness ready);
    void setLibcurlTimeout(long milliseconds);
    void armTimer();
    void deliverResults();
    bool deliverEnded();
    bool deliverCancelled();
    void deliverSoon();
    void finish(ClientCall &call, CURLcode code);
    bool retryOnNewConnection(ClientCall &call);
    void start(ClientCall &call);
    void enqueue(ClientCall &call);
    void startNext(const std::string &address);
    void release(ClientCall &call);
    CURL *takeHandle();
};

void HttpClient::Parts::createMulti()
{
    initializeCurlOnce();
    this->multi = curl_multi_init();
    assert(this->multi != nullptr);
    const auto onSocket = [](CURL *, curl_socket_t socket, int what, void *parts, void *) -> int {
        static_cast<Parts *>(parts)->watch(socket, what);
        return 0;
    };
    const auto onTimer = [](CURLM *, long milliseconds, void *parts) -> int {
        static_cast<Parts *>(parts)->setLibcurlTimeout(milliseconds);
        return 0;
    };
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, static_cast<curl_socket_callback>(onSocket));
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, static_cast<curl_multi_timer_callback>(onTimer));
    curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(this->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, static_cast<long>(this->settings.maxIdleConnections));
    curl_multi_setopt(
        this->multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(this->settings.maxConnectionsPerPeer));
}

void HttpClient::Parts::runSocketAction(curl_socket_t socket, int events)
{
    int running = 0;
    curl_multi_socket_action(this->multi, socket, events, &running);
    this->armTimer();
}

void HttpClient::Parts::watch(curl_socket_t socket, int what)
{
    const bool ended = what == CURL_POLL_REMOVE;
    this->watchedSockets.watch(
        socket, {.readable = !ended && (what & CURL_POLL_IN) != 0, .writable = !ended && (what & CURL_POLL_OUT) != 0});
}

void HttpClient::Parts::onReady(curl_socket_t socket, loop::Readiness ready)
{
    const int events = (ready.readable ? CURL_CSELECT_IN : 0) | (ready.writable ? CURL_CSELECT_OUT : 0);
    this->runSocketAction(socket, events);
    this->deliverResults();
}

void HttpClient::Parts::setLibcurlTimeout(long milliseconds)
{
    this->hasLibcurlDeadline = milliseconds >= 0;
    if (this->hasLibcurlDeadline) {
        this->libcurlDeadline = BootClock::now() + std::chrono::milliseconds(milliseconds);
    }
}

/** Arms the timer. Deadlines mostly move later, so a timer that expires early enough is kept and then armed again. */
void HttpClient::Parts::armTimer()
{
    if (!this->hasLibcurlDeadline || (this->timer != 0 && this->timerAt <= this->libcurlDeadline)) {
        return;
    }
    this->loop.cancel(this->timer);
    this->timerAt = this->libcurlDeadline;
    this->timer = this->loop.after(this->libcurlDeadline - BootClock::now(), [this] {
        this->timer = 0;
        if (this->hasLibcurlDeadline && BootClock::now() >= this->libcurlDeadline) {
            this->hasLibcurlDeadline = false;
            this->runSocketAction(CURL_SOCKET_TIMEOUT, 0);
            this->deliverResults();
        } else {
            this->armTimer();
        }
    });
}

bool HttpClient::Parts::deliverEnded()
{
    int messagesLeft = 0;
    const CURLMsg *message = curl_multi_info_read(this->multi, &messagesLeft);
    if (message == nullptr) {
        return false;
    }
    const CURLcode code = message->data.result;
    char *user = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &user);
    this->finish(*reinterpret_cast<ClientCall *>(user), code);
    return true;
}

bool HttpClient::Parts::deliverCancelled()
{
    if (this->cancelled.empty()) {
        return false;
    }
    const std::unique_ptr<ClientCall> call = std::move(this->cancelled.back());
    this->cancelled.pop_back();
    CallResult result;
    result.outcome = CallOutcome::Cancelled;
    result.mayHaveRun = call->sent;
    result.elapsed = BootClock::now() - call->startedAt;
    call->done(std::move(result));
    return true;
}

void HttpClient::Parts::deliverResults()
{
    if (this->isDelivering) {
        return;
    }
    this->isDelivering = true;
    const BootTime end = BootClock::now() + loop::EventLoop::MaxPriorityDelay;
    bool mayHaveMore = true;
    while (mayHaveMore && BootClock::now() < end) {
        // Repeated because a callback may send or cancel further calls.
        mayHaveMore = this->deliverEnded() || this->deliverCancelled();
    }
    this->isDelivering = false;
    if (mayHaveMore) {
        this->deliverSoon();
    }
}

void HttpClient::Parts::deliverSoon()
{
    if (this->isDeliveryPosted || this->isDelivering) {
        return;
    }
    this->isDeliveryPosted = true;
    this->loop.post([this, alive = std::weak_ptr<bool>(this->alive)] {
        if (!alive.expired()) {
            this->isDeliveryPosted = false;
            this->deliverResults();
        }
    });
}

void HttpClient::Parts::finish(ClientCall &call, CURLcode code)
{
    if (call.staleConnection && this->retryOnNewConnection(call)) {
        return;
    }
    const auto found = this->calls.find(call.id);
    assert(found != this->calls.end());
    const std::unique_ptr<ClientCall> owned = std::move(found->second);
    this->calls.erase(found);
    CallResult result = takeResult(*owned, code);
    this->sockets.endCall(owned->usedSocket, owned->id);
    this->release(*owned);
    this->startNext(owned->call.address);
    owned->done(std::move(result));
}

void HttpClient::Parts::start(ClientCall &call)
{
    ++this->activeCalls;
    ++this->peers[call.call.address].activeCalls;
    call.easy = this->takeHandle();
    setOptions(call);
    curl_easy_setopt(call.easy, CURLOPT_MAXAGE_CONN, static_cast<long>(this->settings.maxIdleAge.count()));
    curl_multi_add_handle(this->multi, call.easy);
    // Writes the request at once if a connection is open, and not in the next loop iteration.
    int running = 0;
    curl_multi_socket_action(this->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    this->armTimer();
    if (static_cast<std::size_t>(running) < this->activeCalls) {
        this->deliverSoon();
    }
}

/*
 * Failure: slow calls use all connections to a peer, and further calls are answered long after their deadline, because
 * libcurl (7.88) checks the deadline of a call that waits for a connection only after it got one. Calls therefore wait
 * here, each with a timer.
 */
void HttpClient::Parts::enqueue(ClientCall &call)
{
    std::deque<CallId> &waiting = this->peers[call.call.address].waiting;
    while (!waiting.empty() && this->calls.count(waiting.front()) == 0) {
        waiting.pop_front();
    }
    waiting.push_back(call.id);
    call.waitTimer = this->loop.after(call.call.timeout, [this, &call] {
        call.waitTimer = 0;
        this->finish(call, CURLE_OPERATION_TIMEDOUT);
    });
}

void HttpClient::Parts::startNext(const std::string &address)
{
    const auto found = this->peers.find(address);
    if (found == this->peers.end()) {
        return;
    }
    while (!found->second.waiting.empty() && found->second.activeCalls < this->settings.maxConnectionsPerPeer) {
        const auto next = this->calls.find(found->second.waiting.front());
        found->second.waiting.pop_front();
        if (next != this->calls.end()) {
            ClientCall &call = *next->second;
            this->loop.cancel(call.waitTimer);
            call.waitTimer = 0;
            this->start(call);
        }
    }
    if (found->second.activeCalls == 0 && found->second.waiting.empty()) {
        this->peers.erase(found);
    }
}

/** Retries a call on a new connection, within the same deadline. Safe because nothing was sent on the stale one. */
bool HttpClient::Parts::retryOnNewConnection(ClientCall &call)
{
    call.staleConnection = false;
    if (call.call.needsNewConnection) {
        return false;
    }
    curl_multi_remove_handle(this->multi, call.easy);
    curl_easy_setopt(call.easy, CURLOPT_FRESH_CONNECT, 1L);
    setTimeouts(call);
    call.call.needsNewConnection = true;
    curl_multi_add_handle(this->multi, call.easy);
    this->armTimer();
    return true;
}

void HttpClient::Parts::release(ClientCall &call)
{
    this->loop.cancel(call.waitTimer);
    call.waitTimer = 0;
    if (call.easy == nullptr) {
        return;
    }
    --this->activeCalls;
    --this->peers[call.call.address].activeCalls;
    curl_multi_remove_handle(this->multi, call.easy);
    curl_slist_free_all(call.headers);
    call.headers = nullptr;
    if (this->idleHandles.size() < MaxIdleHandles && !hasSocketError(call.easy)) {
        curl_easy_reset(call.easy);
        this->idleHandles.push_back(call.easy);
    } else {
        curl_easy_cleanup(call.easy);
    }
    call.easy = nullptr;
}

CURL *HttpClient::Parts::takeHandle()
{
    if (this->idleHandles.empty()) {
        return curl_easy_init();
    }
    CURL *easy = this->idleHandles.back();
    this->idleHandles.pop_back();
    return easy;
}

HttpClient::HttpClient(loop::EventLoop &loop, const HttpClientSettings &settings)
    : parts(std::make_unique<Parts>(loop, settings))
{
    this->parts->createMulti();
}

HttpClient::~HttpClient()
{
    for (const auto &[id, call] : this->parts->calls) {
        this->parts->release(*call);
    }
    for (CURL *easy : this->parts->idleHandles) {
        curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(this->parts->multi);
    this->parts->loop.cancel(this->parts->timer);
}

CallId HttpClient::send(HttpCall call, Done done)
{
    Parts &state = *this->parts;
    auto owned = std::make_unique<ClientCall>();
    ClientCall &added = *owned;
    added.id = ++state.lastCallId;
    added.call = std::move(call);
    added.done = std::move(done);
    added.sockets = &state.sockets;
    added.startedAt = BootClock::now();
    const auto peer = state.peers.find(added.call.address);
    const bool isAtConnectionLimit =
        peer != state.peers.end() && peer->second.activeCalls >= state.settings.maxConnectionsPerPeer;
    state.calls.emplace(added.id, std::move(owned));
    if (isAtConnectionLimit) {
        state.enqueue(added);
    } else {
        state.start(added);
    }
    return added.id;
}

void HttpClient::cancel(CallId call)
{
    Parts &state = *this->parts;
    const auto found = state.calls.find(call);
    if (found == state.calls.end()) {
        return;
    }
    std::unique_ptr<ClientCall> owned = std::move(found->second);
    state.calls.erase(found);
    state.sockets.giveUpCall(owned->usedSocket, owned->id);
    state.release(*owned);
    state.startNext(owned->call.address);
    state.cancelled.push_back(std::move(owned));
    state.deliverSoon();
}

std::uint64_t HttpClient::connectionsOpened() const
{
    return this->parts->sockets.addedTotal();
}

std::size_t HttpClient::inProgress() const
{
    return this->parts->calls.size();
}

} // namespace bergamotweir::net
