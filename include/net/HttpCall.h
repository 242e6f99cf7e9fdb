#pragma once

#include "net/Header.h"

#include <chrono>
#include <cstddef>

namespace bergamotweir::net {

/** A request to be sent by HttpClient. */
struct HttpCall {
    /** IP:port. */
    std::string address;
    std::string method = "GET";
    /** Path and query, sent as they are. */
    std::string target = "/";
    std::vector<Header> headers;
    std::string body;
    /** From send() to the last byte of the answer; at least a millisecond. */
    std::chrono::nanoseconds timeout = std::chrono::seconds(1);
    /** From send() to the open connection; at least a millisecond. */
    std::chrono::nanoseconds connectTimeout = std::chrono::milliseconds(300);
    /** Bytes of the answer's body; more ends the call as TooLarge. */
    std::size_t maxAnswerBytes = 1024UL * 1024;
    /** A field that the answer echoes: with another value, it is the answer to another request. No check without a
     * name. */
    Header expectedEcho;
    /** Whether an answer without a stated length is whole when its connection ends in order. */
    bool readUntilClose = false;
    /** Send the body only once the peer asks for it with "100 Continue"; an answer before that ends the call. */
    bool expectContinue = false;
    /** Never reuse an open connection. */
    bool needsNewConnection = false;
};

} // namespace bergamotweir::net
