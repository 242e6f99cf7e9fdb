#include "net/ClientCall.h"

#include "net/ConnectionSockets.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <string_view>
#include <strings.h>

namespace bergamotweir::net {

namespace {

constexpr std::size_t MaxAnswerHeaderBytes = 64UL * 1024;
constexpr int MinFinalStatus = 200;
constexpr int NoContent = 204;
constexpr int NotModified = 304;

bool isSafeHeader(const Header &header)
{
    const auto isControl = [](char letter) {
        return letter == '\r' || letter == '\n' || letter == '\0';
    };
    return !header.name.empty() && std::none_of(header.name.begin(), header.name.end(), isControl)
           && std::none_of(header.value.begin(), header.value.end(), isControl)
           && header.name.find(':') == std::string::npos;
}

/** Returns a line for libcurl, which sends "Name;" as a field without a value and leaves out "Name:". */
std::string headerLine(const Header &header)
{
    return header.value.empty() ? header.name + ";" : header.name + ": " + header.value;
}

std::string_view trimmed(std::string_view text)
{
    const auto isSpace = [](char letter) {
        return letter == ' ' || letter == '\t' || letter == '\r' || letter == '\n';
    };
    while (!text.empty() && isSpace(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && isSpace(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

/*
 * Failure: a peer sends a surplus answer while the connection is idle. libcurl reuses a connection with unread bytes,
 * so the next caller, and each one after it on that connection, gets the answer to another caller's request.
 * A connection with anything to read before the request is sent is therefore not used.
 */
bool hasNothingToRead(int socket)
{
    char byte = 0;
    return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

/*
 * Failure: libcurl retries a request by itself when a reused connection turns out to be closed, also a POST. If the
 * peer read the first copy and crashed before the first byte of its answer, one payment is executed twice. libcurl
 * calls this function before the first byte on each connection, so a second invocation for one call is such a retry
 * and is refused.
 */
int beforeRequest(void *user, char *, char *, int, int localPort)
{
    auto &call = *static_cast<ClientCall *>(user);
    if (call.sent) {
        return CURL_PREREQFUNC_ABORT;
    }
    if (call.openedSocket != -1) {
        call.sockets->add(call.call.address, localPort, call.openedSocket);
    }
    const int socket = call.sockets->find(call.call.address, localPort);
    call.staleConnection = !hasNothingToRead(socket);
    if (call.staleConnection) {
        return CURL_PREREQFUNC_ABORT;
    }
    call.usedSocket = socket;
    call.sockets->beginCall(socket, call.id, call.startedAt + call.call.timeout);
    call.sent = true;
    return CURL_PREREQFUNC_OK;
}

/** Refuses the new connection on which libcurl would retry a request, as the peer would accept it in vain. */
curl_socket_t openSocket(void *user, curlsocktype, curl_sockaddr *address)
{
    auto &call = *static_cast<ClientCall *>(user);
    if (call.sent) {
        return CURL_SOCKET_BAD;
    }
    call.openedSocket = socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    return call.openedSocket;
}

/*
 * Failure: the path to a peer is cut for a while. Requests that are still in the socket's buffer arrive when the path
 * is back, and run long after their callers were told that they failed. Closing with a reset drops them.
 */
int closeSocket(void *user, curl_socket_t socket)
{
    auto &sockets = *static_cast<ConnectionSockets *>(user);
    if (sockets.isGivenUp(socket)) {
        const linger reset{.l_onoff = 1, .l_linger = 0};
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
    sockets.remove(socket);
    return close(socket);
}

/*
 * Failure: an upstream answers a request twice, or late, on a connection that is kept open. A caller then gets the
 * answer to another caller's request. The request id that the answer echoes reveals the mismatch.
 */
bool echoesOtherRequest(const ClientCall &call)
{
    if (call.call.expectedEcho.name.empty()) {
        return false;
    }
    const std::string *echo = findHeader(call.answer.headers, call.call.expectedEcho.name);
    return echo != nullptr && *echo != call.call.expectedEcho.value;
}

std::size_t onHeader(char *data, std::size_t, std::size_t size, void *user)
{
    auto &call = *static_cast<ClientCall *>(user);
    call.headerBytes += size;
    if (call.headerBytes > MaxAnswerHeaderBytes) {
        call.answerTooLarge = true;
        return 0;
    }
    if (call.headerComplete) {
        // Trailer fields are ignored.
        return size;
    }
    const std::string_view line = trimmed({data, size});
    if (line.starts_with("HTTP/")) {
        call.answer.headers.clear();
        return size;
    }
    if (line.empty()) {
        long status = 0;
        curl_easy_getinfo(call.easy, CURLINFO_RESPONSE_CODE, &status);
        call.answer.status = static_cast<int>(status);
        call.headerComplete = status >= MinFinalStatus;
        call.hasForeignEcho = call.headerComplete && echoesOtherRequest(call);
        // 0 makes libcurl close the connection: later answers on it would belong to other requests as well.
        return call.hasForeignEcho ? 0 : size;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
        call.answer.headers.push_back(
            {std::string(trimmed(line.substr(0, colon))), std::string(trimmed(line.substr(colon + 1)))});
    }
    return size;
}

std::size_t onBody(char *data, std::size_t, std::size_t size, void *user)
{
    auto &call = *static_cast<ClientCall *>(user);
    if (call.answer.body.size() + size > call.call.maxAnswerBytes) {
        call.answerTooLarge = true;
        return 0;
    }
    call.answer.body.append(data, size);
    return size;
}

long toMilliseconds(std::chrono::nanoseconds time)
{
    return std::max<long>(1, std::chrono::ceil<std::chrono::milliseconds>(time).count());
}

void setMethodOptions(const ClientCall &call)
{
    const HttpCall &http = call.call;
    const bool canOmitBody = http.method == "GET" || http.method == "OPTIONS" || http.method == "DELETE";
    if (http.method == "HEAD") {
        curl_easy_setopt(call.easy, CURLOPT_NOBODY, 1L);
        return;
    }
    if (!http.body.empty() || !canOmitBody) {
        curl_easy_setopt(call.easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(http.body.size()));
        curl_easy_setopt(call.easy, CURLOPT_POSTFIELDS, http.body.data());
    }
    if (http.method != "GET" || !http.body.empty()) {
        curl_easy_setopt(call.easy, CURLOPT_CUSTOMREQUEST, http.method.c_str());
    }
}

curl_slist *headerList(const HttpCall &http)
{
    curl_slist *list = nullptr;
    for (const Header &header : http.headers) {
        if (!isConnectionHeader(header.name) && isSafeHeader(header)) {
            list = curl_slist_append(list, headerLine(header).c_str());
        }
    }
    // A line without a value removes a field that libcurl adds by default.
    for (const char *name : {"Accept", "Content-Type"}) {
        if (findHeader(http.headers, name) == nullptr) {
            list = curl_slist_append(list, (std::string(name) + ":").c_str());
        }
    }
    list = curl_slist_append(list, http.expectContinue ? "Expect: 100-continue" : "Expect:");
    return list;
}

/**
 * Tells whether the end of the body was stated. A body that ends with its connection cannot be told from one that was
 * truncated by a crash of the peer, so it counts as complete only for a peer that is known to answer this way
 * (readUntilClose), and only if the connection was closed in order and not reset.
 * Two different lengths, or a length together with chunked encoding, are invalid framing (RFC 9112, 6.3).
 */
bool isFramed(const ClientCall &call)
{
    const int status = call.answer.status;
    if (call.call.method == "HEAD" || status == NoContent || status == NotModified) {
        return true;
    }
    const std::string *length = nullptr;
    bool chunked = false;
    for (const Header &header : call.answer.headers) {
        if (strcasecmp(header.name.c_str(), "Content-Length") == 0) {
            if (length != nullptr && *length != header.value) {
                return false;
            }
            length = &header.value;
        }
        if (strcasecmp(header.name.c_str(), "Transfer-Encoding") == 0) {
            chunked = strcasecmp(header.value.c_str(), "chunked") == 0;
        }
    }
    if (!chunked && length == nullptr) {
        return call.call.readUntilClose;
    }
    return chunked != (length != nullptr);
}

CallOutcome outcomeOf(const ClientCall &call, CURLcode code)
{
    if (call.answerTooLarge) {
        return CallOutcome::TooLarge;
    }
    if (!call.sent) {
        return CallOutcome::NotSent;
    }
    if (code == CURLE_OPERATION_TIMEDOUT) {
        return CallOutcome::TimedOut;
    }
    if (!call.headerComplete || call.hasForeignEcho) {
        return CallOutcome::ConnectionLost;
    }
    return code == CURLE_OK && isFramed(call) ? CallOutcome::Answered : CallOutcome::TruncatedAnswer;
}

} // namespace

void setTimeouts(const ClientCall &call)
{
    const auto remaining = call.call.timeout - (BootClock::now() - call.startedAt);
    curl_easy_setopt(call.easy, CURLOPT_TIMEOUT_MS, toMilliseconds(remaining));
    curl_easy_setopt(
        call.easy, CURLOPT_CONNECTTIMEOUT_MS, toMilliseconds(std::min(call.call.connectTimeout, remaining)));
}

void setOptions(ClientCall &call)
{
    const HttpCall &http = call.call;
    CURL *easy = call.easy;
    const std::string url = "http://" + http.address + "/";
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, http.target.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    setTimeouts(call);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, beforeRequest);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &call);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, openSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &call);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, closeSocket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, call.sockets);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &call);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &call);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &call);
    if (http.expectContinue) {
        curl_easy_setopt(easy, CURLOPT_EXPECT_100_TIMEOUT_MS, toMilliseconds(http.timeout));
    }
    if (http.needsNewConnection) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    setMethodOptions(call);
    call.headers = headerList(http);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call.headers);
}

bool isRefused(const ClientCall &call, CURLcode code)
{
    long error = 0;
    return code == CURLE_COULDNT_CONNECT && call.easy != nullptr
           && curl_easy_getinfo(call.easy, CURLINFO_OS_ERRNO, &error) == CURLE_OK && error == ECONNREFUSED;
}

CallResult takeResult(ClientCall &call, CURLcode code)
{
    CallResult result;
    result.outcome = outcomeOf(call, code);
    result.mayHaveRun = call.sent;
    result.isRefused = !call.sent && isRefused(call, code);
    result.elapsed = BootClock::now() - call.startedAt;
    if (result.outcome == CallOutcome::Answered) {
        const bool head = call.call.method == "HEAD";
        std::erase_if(call.answer.headers, [&](const Header &header) {
            const bool keep = head && strcasecmp(header.name.c_str(), "Content-Length") == 0;
            return !keep && isConnectionHeader(header.name);
        });
        result.answer = std::move(call.answer);
    }
    return result;
}

} // namespace bergamotweir::net
