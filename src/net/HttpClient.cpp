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
constexpr std::size_t MaxSpareHandles = 256;

void initialiseOnce()
{
    static std::once_flag once;
    std::call_once(once, [] {
        curl_global_init(CURL_GLOBAL_DEFAULT);
    });
}

/** The calls to one peer: how many use a connection, and which ones wait for one. */
struct Peer {
    unsigned started = 0;
    std::deque<CallId> waiting;
};

} // namespace

struct HttpClient::Parts {
    loop::EventLoop &loop;
    HttpClientSettings settings;
    SocketSet polled;
    ConnectionSockets sockets;
    CURLM *multi = nullptr;
    std::unordered_map<CallId, std::unique_ptr<ClientCall>> calls;
    std::vector<CURL *> spareHandles;
    std::unordered_map<std::string, Peer> peers;
    std::size_t started = 0;
    /** Cancelled calls whose callback has not been called yet. */
    std::vector<std::unique_ptr<ClientCall>> cancelled;
    CallId lastCall = 0;
    /** Destroyed with the client; posted tasks check it before they use the client. */
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    bool collecting = false;
    bool collectPosted = false;

    loop::TimerId timer = 0;
    BootTime timerAt;
    /** When libcurl has to be called; may be later than the timer. */
    BootTime wanted;
    bool wants = false;

    Parts(loop::EventLoop &loop, const HttpClientSettings &settings)
        : loop(loop)
        , settings(settings)
        , polled(loop,
                 [this](int socket, loop::Readiness ready) {
                     this->onReady(socket, ready);
                 })
        , sockets([this](int socket) {
            this->polled.forget(socket);
        })
    {
    }

    void open();
    void act(curl_socket_t socket, int events);
    void watch(curl_socket_t socket, int what);
    void onReady(curl_socket_t socket, loop::Readiness ready);
    void wantTimer(long milliseconds);
    void arm();
    void collect();
    bool collectEnded();
    bool collectCancelled();
    void collectSoon();
    void finish(ClientCall &call, CURLcode code);
    bool sendFresh(ClientCall &call);
    void start(ClientCall &call);
    void wait(ClientCall &call);
    void startNext(const std::string &address);
    void release(ClientCall &call);
    CURL *takeHandle();
};

void HttpClient::Parts::open()
{
    initialiseOnce();
    this->multi = curl_multi_init();
    assert(this->multi != nullptr);
    const auto onSocket = [](CURL *, curl_socket_t socket, int what, void *parts, void *) -> int {
        static_cast<Parts *>(parts)->watch(socket, what);
        return 0;
    };
    const auto onTimer = [](CURLM *, long milliseconds, void *parts) -> int {
        static_cast<Parts *>(parts)->wantTimer(milliseconds);
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

void HttpClient::Parts::act(curl_socket_t socket, int events)
{
    int running = 0;
    curl_multi_socket_action(this->multi, socket, events, &running);
    this->arm();
}

void HttpClient::Parts::watch(curl_socket_t socket, int what)
{
    const bool ended = what == CURL_POLL_REMOVE;
    this->polled.watch(
        socket, {.readable = !ended && (what & CURL_POLL_IN) != 0, .writable = !ended && (what & CURL_POLL_OUT) != 0});
}

void HttpClient::Parts::onReady(curl_socket_t socket, loop::Readiness ready)
{
    const int events = (ready.readable ? CURL_CSELECT_IN : 0) | (ready.writable ? CURL_CSELECT_OUT : 0);
    this->act(socket, events);
    this->collect();
}

void HttpClient::Parts::wantTimer(long milliseconds)
{
    this->wants = milliseconds >= 0;
    if (this->wants) {
        this->wanted = BootClock::now() + std::chrono::milliseconds(milliseconds);
    }
}

/** Arms the timer. Deadlines mostly move later, so a timer that expires early enough is kept and then armed again. */
void HttpClient::Parts::arm()
{
    if (!this->wants || (this->timer != 0 && this->timerAt <= this->wanted)) {
        return;
    }
    this->loop.cancel(this->timer);
    this->timerAt = this->wanted;
    this->timer = this->loop.after(this->wanted - BootClock::now(), [this] {
        this->timer = 0;
        if (this->wants && BootClock::now() >= this->wanted) {
            this->wants = false;
            this->act(CURL_SOCKET_TIMEOUT, 0);
            this->collect();
        } else {
            this->arm();
        }
    });
}

bool HttpClient::Parts::collectEnded()
{
    int left = 0;
    const CURLMsg *message = curl_multi_info_read(this->multi, &left);
    if (message == nullptr) {
        return false;
    }
    const CURLcode code = message->data.result;
    char *user = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &user);
    this->finish(*reinterpret_cast<ClientCall *>(user), code);
    return true;
}

bool HttpClient::Parts::collectCancelled()
{
    if (this->cancelled.empty()) {
        return false;
    }
    const std::unique_ptr<ClientCall> call = std::move(this->cancelled.back());
    this->cancelled.pop_back();
    CallResult result;
    result.outcome = CallOutcome::Cancelled;
    result.mayHaveRun = call->sent;
    result.elapsed = BootClock::now() - call->begun;
    call->done(std::move(result));
    return true;
}

void HttpClient::Parts::collect()
{
    if (this->collecting) {
        return;
    }
    this->collecting = true;
    while (this->collectEnded() || this->collectCancelled()) {
        // Repeated because a callback may send or cancel further calls.
    }
    this->collecting = false;
}

void HttpClient::Parts::collectSoon()
{
    if (this->collectPosted || this->collecting) {
        return;
    }
    this->collectPosted = true;
    this->loop.post([this, alive = std::weak_ptr<bool>(this->alive)] {
        if (!alive.expired()) {
            this->collectPosted = false;
            this->collect();
        }
    });
}

void HttpClient::Parts::finish(ClientCall &call, CURLcode code)
{
    if (call.staleConnection && this->sendFresh(call)) {
        return;
    }
    const auto found = this->calls.find(call.id);
    assert(found != this->calls.end());
    const std::unique_ptr<ClientCall> owned = std::move(found->second);
    this->calls.erase(found);
    CallResult result = conclude(*owned, code);
    this->release(*owned);
    this->startNext(owned->call.address);
    owned->done(std::move(result));
}

void HttpClient::Parts::start(ClientCall &call)
{
    ++this->started;
    ++this->peers[call.call.address].started;
    call.easy = this->takeHandle();
    prepare(call);
    curl_easy_setopt(call.easy, CURLOPT_MAXAGE_CONN, static_cast<long>(this->settings.maxIdleAge.count()));
    curl_multi_add_handle(this->multi, call.easy);
    // Writes the request at once if a connection is open, and not in the next loop iteration.
    int running = 0;
    curl_multi_socket_action(this->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    this->arm();
    if (static_cast<std::size_t>(running) < this->started) {
        this->collectSoon();
    }
}

/*
 * Failure: slow calls use all connections to a peer, and further calls are answered long after their deadline, because
 * libcurl (7.88) checks the deadline of a call that waits for a connection only after it got one. Calls therefore wait
 * here, each with a timer.
 */
void HttpClient::Parts::wait(ClientCall &call)
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
    while (!found->second.waiting.empty() && found->second.started < this->settings.maxConnectionsPerPeer) {
        const auto next = this->calls.find(found->second.waiting.front());
        found->second.waiting.pop_front();
        if (next != this->calls.end()) {
            ClientCall &call = *next->second;
            this->loop.cancel(call.waitTimer);
            call.waitTimer = 0;
            this->start(call);
        }
    }
    if (found->second.started == 0 && found->second.waiting.empty()) {
        this->peers.erase(found);
    }
}

/** Retries a call on a new connection, within the same deadline. Safe because nothing was sent on the stale one. */
bool HttpClient::Parts::sendFresh(ClientCall &call)
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
    this->arm();
    return true;
}

void HttpClient::Parts::release(ClientCall &call)
{
    this->loop.cancel(call.waitTimer);
    call.waitTimer = 0;
    if (call.easy == nullptr) {
        return;
    }
    --this->started;
    --this->peers[call.call.address].started;
    curl_multi_remove_handle(this->multi, call.easy);
    curl_slist_free_all(call.headers);
    call.headers = nullptr;
    if (this->spareHandles.size() < MaxSpareHandles) {
        curl_easy_reset(call.easy);
        this->spareHandles.push_back(call.easy);
    } else {
        curl_easy_cleanup(call.easy);
    }
    call.easy = nullptr;
}

CURL *HttpClient::Parts::takeHandle()
{
    if (this->spareHandles.empty()) {
        return curl_easy_init();
    }
    CURL *easy = this->spareHandles.back();
    this->spareHandles.pop_back();
    return easy;
}

HttpClient::HttpClient(loop::EventLoop &loop, const HttpClientSettings &settings)
    : parts(std::make_unique<Parts>(loop, settings))
{
    this->parts->open();
}

HttpClient::~HttpClient()
{
    for (const auto &[id, call] : this->parts->calls) {
        this->parts->release(*call);
    }
    for (CURL *easy : this->parts->spareHandles) {
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
    added.id = ++state.lastCall;
    added.call = std::move(call);
    added.done = std::move(done);
    added.sockets = &state.sockets;
    added.begun = BootClock::now();
    const auto peer = state.peers.find(added.call.address);
    const bool full = peer != state.peers.end() && peer->second.started >= state.settings.maxConnectionsPerPeer;
    state.calls.emplace(added.id, std::move(owned));
    if (full) {
        state.wait(added);
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
    state.release(*owned);
    state.startNext(owned->call.address);
    state.cancelled.push_back(std::move(owned));
    state.collectSoon();
}

std::uint64_t HttpClient::connectionsOpened() const
{
    return this->parts->sockets.added();
}

std::size_t HttpClient::inProgress() const
{
    return this->parts->calls.size();
}

} // namespace bergamotweir::net
