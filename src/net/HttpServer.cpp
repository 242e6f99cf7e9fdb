#include "net/HttpServer.h"

#include "loop/EventLoop.h"
#include "net/Problem.h"
#include "net/ServerExchange.h"

#include <microhttpd.h>

#include <arpa/inet.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <strings.h>
#include <unordered_map>

namespace bergamotweir::net {

namespace {

/**
 * Memory of a connection per byte of the header limit. A header that exceeds the limit but fits in this memory is
 * answered with this server's own 431; beyond, libmicrohttpd sends a bare one. Not larger, because libmicrohttpd clears
 * all of the memory for each request.
 */
constexpr std::size_t PoolBytesPerHeaderByte = 4;
/** Bounds the calls of MHD_run() in one loop iteration, so that other event sources are served. */
constexpr int MaxRoundsPerIteration = 8;
constexpr std::chrono::seconds SweepInterval{1};
constexpr int MaxHangUpsPerWait = 64;
constexpr const char *ContinueExpectation = "100-continue";
constexpr int MinFinalStatus = 200;
constexpr int MaxStatus = 999;

/** One open connection. */
struct Connection {
    std::string peer;
    int socket = -1;
    /** No further request is read: the caller closed its sending side, or the server stopped accepting. */
    bool receivingEnded = false;
    /** The request in progress, if any. */
    std::weak_ptr<ServerExchange> currentExchange;
};

/** The context that libmicrohttpd stores for each request. */
struct RequestContext {
    std::shared_ptr<ServerExchange> exchange;
};

std::string peerText(const sockaddr *address)
{
    if (address == nullptr || address->sa_family != AF_INET) {
        return {};
    }
    const auto *inet = reinterpret_cast<const sockaddr_in *>(address);
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &inet->sin_addr, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(ntohs(inet->sin_port));
}

MHD_Result collectHeader(void *into, MHD_ValueKind, const char *name, const char *value)
{
    auto *headers = static_cast<std::vector<Header> *>(into);
    headers->push_back({name, value == nullptr ? "" : value});
    return MHD_YES;
}

std::size_t statedBodyBytes(const HttpRequest &request)
{
    const std::string *text = findHeader(request.headers, "Content-Length");
    std::size_t length = 0;
    if (text != nullptr) {
        std::from_chars(text->data(), text->data() + text->size(), length);
    }
    return length;
}

ssize_t readNoBody(void *, std::uint64_t, char *, std::size_t)
{
    return MHD_CONTENT_READER_END_WITH_ERROR;
}

void freeBody(void *body)
{
    delete static_cast<std::string *>(body);
}

/** Creates the response. For HEAD it states the length of the body that GET would return, and has no body. */
MHD_Response *makeResponse(HttpAnswer &answer, bool head)
{
    const std::string *length = head ? findHeader(answer.headers, "Content-Length") : nullptr;
    std::uint64_t size = 0;
    if (length != nullptr && std::from_chars(length->data(), length->data() + length->size(), size).ec == std::errc()) {
        return MHD_create_response_from_callback(size, 1, readNoBody, nullptr, nullptr);
    }
    auto *body = new std::string(std::move(answer.body));
    return MHD_create_response_from_buffer_with_free_callback_cls(body->size(), body->data(), freeBody, body);
}

} // namespace

struct HttpServer::Parts {
    loop::EventLoop &loop;
    HttpServerSettings settings;
    Handler handler;
    BodyAdmission bodyAdmission;
    ExchangeHost host;
    MHD_Daemon *daemon = nullptr;
    int daemonEpollFd = -1;
    int hangUpEpollFd = -1;
    loop::TimerId sweepTimer = 0;
    /** Destroyed with the server; posted tasks check it before they use the server. */
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    bool isRunPosted = false;
    bool isRunning = false;
    bool isStopping = false;
    bool isDestroyed = false;
    std::unordered_map<std::uint64_t, Connection> connections;
    std::uint64_t lastConnectionId = 0;

    Parts(loop::EventLoop &loop, HttpServerSettings settings, Handler handler)
        : loop(loop)
        , settings(std::move(settings))
        , handler(std::move(handler))
    {
    }

    Findings start();
    void run();
    void runSoon();
    void onHangUps();
    void onConnection(MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode what);
    MHD_Result onAccess(
        MHD_Connection *connection, RequestContext &context, const char *method, const char *data, std::size_t *size);
    MHD_Result onHeaderRead(MHD_Connection *connection, ServerExchange &exchange, const char *method);
    MHD_Result requestBodyAdmission(MHD_Connection *connection, ServerExchange &exchange, std::size_t length);
    MHD_Result onRequestRead(MHD_Connection *connection, ServerExchange &exchange);
    MHD_Result refuse(MHD_Connection *connection, ServerExchange &exchange, HttpAnswer answer);
    MHD_Result queueAnswer(MHD_Connection *connection, ServerExchange &exchange);
};

namespace {

std::uint64_t connectionIdOf(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info == nullptr ? 0 : reinterpret_cast<std::uint64_t>(info->socket_context);
}

/** Called by libmicrohttpd with the target as sent, before the header fields are read. */
void *onRequestBegin(void *, const char *target, MHD_Connection *connection)
{
    auto exchange = std::make_shared<ServerExchange>();
    exchange->self = exchange;
    exchange->connection = connection;
    exchange->mutableRequest().target = target;
    return new RequestContext{std::move(exchange)};
}

void onRequestEnd(void *, MHD_Connection *, void **context, MHD_RequestTerminationCode)
{
    auto *request = static_cast<RequestContext *>(*context);
    *context = nullptr;
    if (request != nullptr) {
        request->exchange->detach();
        delete request;
    }
}

/** Leaves percent-encoding in targets: they are passed on as sent. */
std::size_t keepEncoding(void *, MHD_Connection *, char *text)
{
    return std::char_traits<char>::length(text);
}

} // namespace

Findings HttpServer::Parts::start()
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(this->settings.port);
    inet_pton(AF_INET, this->settings.address.c_str(), &address.sin_addr);

    const auto access = [](void *parts,
                           MHD_Connection *connection,
                           const char *,
                           const char *method,
                           const char *,
                           const char *data,
                           std::size_t *size,
                           void **context) -> MHD_Result {
        auto *request = static_cast<RequestContext *>(*context);
        return static_cast<Parts *>(parts)->onAccess(connection, *request, method, data, size);
    };
    const auto notify =
        [](void *parts, MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode what) {
            static_cast<Parts *>(parts)->onConnection(connection, context, what);
        };
    const std::size_t pool = this->settings.maxHeaderBytes * PoolBytesPerHeaderByte;
    this->daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
                                    0,
                                    nullptr,
                                    nullptr,
                                    static_cast<MHD_AccessHandlerCallback>(access),
                                    this,
                                    MHD_OPTION_SOCK_ADDR,
                                    reinterpret_cast<sockaddr *>(&address),
                                    MHD_OPTION_URI_LOG_CALLBACK,
                                    onRequestBegin,
                                    this,
                                    MHD_OPTION_UNESCAPE_CALLBACK,
                                    keepEncoding,
                                    this,
                                    MHD_OPTION_NOTIFY_COMPLETED,
                                    onRequestEnd,
                                    this,
                                    MHD_OPTION_NOTIFY_CONNECTION,
                                    static_cast<MHD_NotifyConnectionCallback>(notify),
                                    this,
                                    MHD_OPTION_CONNECTION_LIMIT,
                                    this->settings.maxConnections,
                                    MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                    pool,
                                    MHD_OPTION_CONNECTION_TIMEOUT,
                                    static_cast<unsigned>(this->settings.idleTimeout.count()),
                                    MHD_OPTION_END);
    if (this->daemon == nullptr) {
        return oneFinding(this->settings.address + ":" + std::to_string(this->settings.port),
                          "the HTTP server cannot listen there",
                          "a free port of this VM");
    }
    this->host.runSoon = [this] {
        this->runSoon();
    };
    this->daemonEpollFd = MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    this->hangUpEpollFd = epoll_create1(EPOLL_CLOEXEC);
    this->loop.watch(
        this->daemonEpollFd,
        {.readable = true},
        [this](loop::Readiness) {
            this->run();
        },
        this->settings.priority);
    this->loop.watch(this->hangUpEpollFd, {.readable = true}, [this](loop::Readiness) {
        this->onHangUps();
    });
    this->sweepTimer = this->loop.every(SweepInterval, [this] {
        this->run();
    });
    return {};
}

void HttpServer::Parts::run()
{
    if (this->isRunning) {
        return;
    }
    this->isRunning = true;
    bool hasMoreWork = true;
    for (int round = 0; hasMoreWork && round < MaxRoundsPerIteration; ++round) {
        MHD_run(this->daemon);
        MHD_UNSIGNED_LONG_LONG timeout = 0;
        hasMoreWork = MHD_get_timeout(this->daemon, &timeout) == MHD_YES && timeout == 0;
    }
    this->isRunning = false;
    if (hasMoreWork) {
        // No event follows for data that libmicrohttpd has already read from its sockets.
        this->runSoon();
    }
}

void HttpServer::Parts::runSoon()
{
    if (this->isRunPosted) {
        return;
    }
    this->isRunPosted = true;
    this->loop.post([this, alive = std::weak_ptr<bool>(this->alive)] {
        if (!alive.expired()) {
            this->isRunPosted = false;
            this->run();
        }
    });
}

/*
 * Failure: a caller disconnects while its request is in progress, and the request is processed in vain, because
 * libmicrohttpd does not poll the socket of a suspended connection. Each socket is therefore added to an epoll set of
 * its own, until it is closed, edge-triggered and only for the closing of the caller's side.
 */
void HttpServer::Parts::onHangUps()
{
    std::array<epoll_event, MaxHangUpsPerWait> events{};
    const int count = epoll_wait(this->hangUpEpollFd, events.data(), MaxHangUpsPerWait, 0);
    for (int i = 0; i < count; ++i) {
        const auto found = this->connections.find(events[i].data.u64);
        if (found == this->connections.end()) {
            continue;
        }
        found->second.receivingEnded = true;
        const std::shared_ptr<ServerExchange> exchange = found->second.currentExchange.lock();
        if (exchange != nullptr) {
            exchange->abandon();
        }
    }
}

void HttpServer::Parts::onConnection(MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode what)
{
    const int socket = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    if (what == MHD_CONNECTION_NOTIFY_CLOSED) {
        this->connections.erase(reinterpret_cast<std::uint64_t>(*context));
        epoll_ctl(this->hangUpEpollFd, EPOLL_CTL_DEL, socket, nullptr);
        return;
    }
    const std::uint64_t id = ++this->lastConnectionId;
    // libmicrohttpd stores the id in place of a pointer. NOLINTNEXTLINE(performance-no-int-to-ptr)
    *context = reinterpret_cast<void *>(id);
    const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    this->connections[id].peer = peerText(info->client_addr);
    this->connections[id].socket = socket;
    epoll_event event{};
    event.events = EPOLLRDHUP | EPOLLET;
    event.data.u64 = id;
    epoll_ctl(this->hangUpEpollFd, EPOLL_CTL_ADD, socket, &event);
}

MHD_Result HttpServer::Parts::onAccess(
    MHD_Connection *connection, RequestContext &context, const char *method, const char *data, std::size_t *size)
{
    ServerExchange &exchange = *context.exchange;
    if (!exchange.isHeaderRead) {
        exchange.isHeaderRead = true;
        return this->onHeaderRead(connection, exchange, method);
    }
    if (exchange.isSuspendedBeforeBody && *size == 0) {
        // Resumed after the body was held: libmicrohttpd calls once more before it reads the body.
        exchange.isSuspendedBeforeBody = false;
        return exchange.state == ServerExchange::State::Answered ? this->queueAnswer(connection, exchange) : MHD_YES;
    }
    exchange.isSuspendedBeforeBody = false;
    if (*size == 0) {
        return this->onRequestRead(connection, exchange);
    }
    exchange.bodyBytes += *size;
    if (exchange.bodyBytes > this->settings.maxBodyBytes) {
        exchange.state = ServerExchange::State::Discarding;
    } else {
        exchange.mutableRequest().body.append(data, *size);
    }
    *size = 0;
    // A body without a stated length can be endless: past the bound its connection is closed.
    return exchange.bodyBytes > this->settings.maxDiscardedBytes ? MHD_NO : MHD_YES;
}

MHD_Result HttpServer::Parts::onHeaderRead(MHD_Connection *connection, ServerExchange &exchange, const char *method)
{
    HttpRequest &request = exchange.mutableRequest();
    request.method = method;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, collectHeader, &request.headers);
    exchange.connectionId = connectionIdOf(connection);
    const auto found = this->connections.find(exchange.connectionId);
    if (found != this->connections.end()) {
        request.peer = found->second.peer;
        found->second.currentExchange = exchange.self;
    }
    const MHD_ConnectionInfo *size = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
    if (size != nullptr && size->header_size > this->settings.maxHeaderBytes) {
        return this->refuse(
            connection, exchange, problem(431, "Header too large", "The header fields are too large.", RequestRan::No));
    }
    const std::size_t length = statedBodyBytes(request);
    if (length > this->settings.maxDiscardedBytes) {
        return this->refuse(
            connection, exchange, problem(413, "Body too large", "The body is too large.", RequestRan::No));
    }
    const std::string *expected = findHeader(request.headers, "Expect");
    if (this->bodyAdmission && length > 0 && expected != nullptr
        && strcasecmp(expected->c_str(), ContinueExpectation) == 0) {
        return this->requestBodyAdmission(connection, exchange, length);
    }
    request.body.reserve(std::min(length, this->settings.maxBodyBytes));
    return MHD_YES;
}

/** Requests admission of the body before "100 Continue" is sent; suspends the connection while it is undecided. */
MHD_Result
HttpServer::Parts::requestBodyAdmission(MHD_Connection *connection, ServerExchange &exchange, std::size_t length)
{
    const std::shared_ptr<ServerExchange> shared = exchange.self.lock();
    exchange.holdBody(this->host, length);
    if (std::optional<HttpAnswer> refusal = this->bodyAdmission(shared)) {
        return this->refuse(connection, exchange, std::move(*refusal));
    }
    if (exchange.isBodyHeld) {
        exchange.isSuspendedBeforeBody = true;
        exchange.isSuspended = true;
        MHD_suspend_connection(connection);
    }
    return MHD_YES;
}

MHD_Result HttpServer::Parts::onRequestRead(MHD_Connection *connection, ServerExchange &exchange)
{
    if (exchange.state == ServerExchange::State::Discarding) {
        return this->refuse(
            connection, exchange, problem(413, "Body too large", "The body is too large.", RequestRan::No));
    }
    if (this->isDestroyed) {
        return MHD_NO;
    }
    exchange.notifyBodyEnded(true);
    if (exchange.state == ServerExchange::State::Receiving) {
        const auto found = this->connections.find(exchange.connectionId);
        if (found != this->connections.end() && found->second.receivingEnded) {
            return MHD_NO;
        }
        exchange.handOver(this->host, this->handler);
    }
    if (exchange.state == ServerExchange::State::Answered) {
        return this->queueAnswer(connection, exchange);
    }
    if (exchange.state == ServerExchange::State::Abandoned) {
        return MHD_NO;
    }
    exchange.isSuspended = true;
    MHD_suspend_connection(connection);
    return MHD_YES;
}

MHD_Result HttpServer::Parts::refuse(MHD_Connection *connection, ServerExchange &exchange, HttpAnswer answer)
{
    exchange.state = ServerExchange::State::Answered;
    exchange.pendingAnswer = std::move(answer);
    return this->queueAnswer(connection, exchange);
}

MHD_Result HttpServer::Parts::queueAnswer(MHD_Connection *connection, ServerExchange &exchange)
{
    HttpAnswer &answer = exchange.pendingAnswer;
    if (answer.status < MinFinalStatus || answer.status > MaxStatus) {
        answer = problem(502, "Bad answer", "The answer had no final status.", RequestRan::Unknown);
    }
    MHD_Response *response = makeResponse(answer, exchange.request().method == "HEAD");
    for (const Header &header : answer.headers) {
        if (!isConnectionHeader(header.name)) {
            MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
        }
    }
    if (this->isStopping) {
        MHD_add_response_header(response, "Connection", "close");
    }
    const MHD_Result queued = MHD_queue_response(connection, static_cast<unsigned>(answer.status), response);
    MHD_destroy_response(response);
    return queued;
}

Result<std::unique_ptr<HttpServer>>
HttpServer::listen(loop::EventLoop &loop, const HttpServerSettings &settings, Handler handler)
{
    auto parts = std::make_unique<Parts>(loop, settings, std::move(handler));
    Findings findings = parts->start();
    if (!findings.empty()) {
        return findings;
    }
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(parts)));
}

HttpServer::HttpServer(std::unique_ptr<Parts> parts)
    : parts(std::move(parts))
{
}

HttpServer::~HttpServer()
{
    this->parts->isDestroyed = true;
    this->parts->loop.cancel(this->parts->sweepTimer);
    this->parts->loop.unwatch(this->parts->daemonEpollFd);
    this->parts->loop.unwatch(this->parts->hangUpEpollFd);
    // libmicrohttpd aborts the process when it is stopped with a suspended connection.
    for (const auto &[id, connection] : this->parts->connections) {
        const std::shared_ptr<ServerExchange> exchange = connection.currentExchange.lock();
        if (exchange != nullptr) {
            exchange->detach();
        }
    }
    MHD_run(this->parts->daemon);
    MHD_stop_daemon(this->parts->daemon);
    close(this->parts->hangUpEpollFd);
}

std::uint16_t HttpServer::port() const
{
    return MHD_get_daemon_info(this->parts->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

std::size_t HttpServer::inProgress() const
{
    return this->parts->host.inProgress;
}

void HttpServer::admitBodies(BodyAdmission admission)
{
    this->parts->bodyAdmission = std::move(admission);
}

void HttpServer::stopAccepting()
{
    if (this->parts->isStopping) {
        return;
    }
    this->parts->isStopping = true;
    const MHD_socket listening = MHD_quiesce_daemon(this->parts->daemon);
    if (listening != MHD_INVALID_SOCKET) {
        close(listening);
    }
    // Idle connections are closed now, so that a stop does not wait for callers that keep theirs open. A request that
    // crosses this is not passed to the handler: it would run, and its answer could not be sent.
    for (auto &[id, connection] : this->parts->connections) {
        if (connection.currentExchange.expired()) {
            connection.receivingEnded = true;
            shutdown(connection.socket, SHUT_RD);
        }
    }
}

} // namespace bergamotweir::net
