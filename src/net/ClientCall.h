#pragma once

#include "base/BootClock.h"
#include "loop/EventLoop.h"
#include "net/CallResult.h"
#include "net/HttpCall.h"
#include "net/HttpClient.h"

#include <curl/curl.h>

namespace bergamotweir::net {

class ConnectionSockets;

/** One call of HttpClient in progress. Owned by the client; libcurl holds a pointer to it until the call ends. */
struct ClientCall {
    CallId id = 0;
    HttpCall call;
    HttpClient::Done done;
    BootTime begun;
    /** Null while the call waits for a connection. */
    CURL *easy = nullptr;
    /** Ends a call that waits for a connection; 0 once it is started. */
    loop::TimerId waitTimer = 0;
    curl_slist *headers = nullptr;
    /** The client's; outlives the call. */
    ConnectionSockets *sockets = nullptr;
    /** The socket opened for this call, or -1. */
    int opened = -1;

    /** libcurl was about to write the request's first byte. */
    bool sent = false;
    /** The connection offered for reuse was closed or held bytes that nobody asked for; nothing was sent on it. */
    bool staleConnection = false;
    /** The blank line after the final status's header fields was read. */
    bool headerComplete = false;
    bool tooLarge = false;
    /** The answer names another request. */
    bool foreign = false;
    HttpAnswer answer;
    std::size_t headerBytes = 0;
};

/**
 * Sets every option of a call on its handle.
 * @param call its easy handle is fresh or reset
 */
void prepare(ClientCall &call);

/** Gives a call's handle the time that its deadline leaves, at least a millisecond. */
void setTimeouts(const ClientCall &call);

/**
 * Tells how a call ended, from what libcurl says and what was seen of the answer.
 * @param call the call, no longer in progress
 * @param code libcurl's verdict
 * @return the result; moves the answer out of the call
 */
CallResult conclude(ClientCall &call, CURLcode code);

} // namespace bergamotweir::net
