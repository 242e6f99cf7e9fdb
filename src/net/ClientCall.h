#pragma once

#include "base/BootClock.h"
#include "loop/EventLoop.h"
#include "net/CallResult.h"
#include "net/HttpCall.h"
#include "net/HttpClient.h"

#include <curl/curl.h>

namespace bergamotweir::net {

class ConnectionSockets;

/** A call of HttpClient that is in progress. Owned by the client; libcurl holds a pointer to it until the call ends. */
struct ClientCall {
    CallId id = 0;
    HttpCall call;
    HttpClient::Done done;
    BootTime startedAt;
    /** Null while the call waits for a connection. */
    CURL *easy = nullptr;
    /** Times out a call that waits for a connection; 0 after the call was started. */
    loop::TimerId waitTimer = 0;
    curl_slist *headers = nullptr;
    /** Owned by the client; outlives the call. */
    ConnectionSockets *sockets = nullptr;
    /** The socket opened for this call, or -1. */
    int openedSocket = -1;

    /** The socket on which the request was sent, or -1; closed when the call has ended without an answer. */
    int usedSocket = -1;

    /** libcurl was about to write the request's first byte, so the request may have reached the peer. */
    bool sent = false;
    /** The connection to be reused was closed or had unsolicited bytes to read; nothing was sent on it. */
    bool staleConnection = false;
    /** The empty line after the header fields of a final status was read. */
    bool headerComplete = false;
    bool answerTooLarge = false;
    /** The answer echoes the id of another request. */
    bool hasForeignEcho = false;
    HttpAnswer answer;
    std::size_t headerBytes = 0;
};

/**
 * Sets all options of a call on its easy handle.
 * @param call the call; its easy handle is new or was reset
 */
void setOptions(ClientCall &call);

/** Sets the time-outs of a call's handle to the time until its deadline, at least a millisecond. */
void setTimeouts(const ClientCall &call);

/**
 * Determines how a call ended, from libcurl's result code and the part of the answer that was read.
 * @param call the call, no longer in progress
 * @param code libcurl's result of the transfer
 * @return the result; moves the answer out of the call
 */
CallResult takeResult(ClientCall &call, CURLcode code);

} // namespace bergamotweir::net
