#pragma once

#include "net/Header.h"

#include <chrono>
#include <cstddef>

namespace bergamotweir::net {

/** A request to be sent by HttpClient, with its time-outs and bounds. */
struct HttpCall {
    /** IP:port. */
    std::string address;
    std::string method = "GET";
    /** Path and query, sent unchanged. */
    std::string target = "/";
    std::vector<Header> headers;
    std::string body;
    /** Time from send() to the last byte of the answer; at least a millisecond. */
    std::chrono::nanoseconds timeout = std::chrono::seconds(1);
    /** Time from send() to the established connection; at least a millisecond. */
    std::chrono::nanoseconds connectTimeout = std::chrono::milliseconds(300);
    /** Maximum size of the answer's body in bytes; a larger one ends the call as TooLarge. */
    std::size_t maxAnswerBytes = 1024UL * 1024;
    /**
     * A field that the answer may echo. An answer that has it with another value belongs to another request. An empty
     * name disables the check.
     */
    Header expectedEcho;
    /** Whether an answer without a stated length is complete when its connection is closed in order (no reset). */
    bool readUntilClose = false;
    /** Whether the body is sent only after the peer's "100 Continue"; an answer before that ends the call. */
    bool expectContinue = false;
    /** Whether the call must not reuse an open connection. */
    bool needsNewConnection = false;
};

} // namespace bergamotweir::net
