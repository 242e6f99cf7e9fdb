#pragma once

#include "net/HttpRequest.h"
#include "net/HttpServerSettings.h"

#include <http_parser.h>

#include <string_view>

namespace bergamotweir::net {

/** How far a RequestParser is with the request that it reads. */
enum class ParseStage {
    /** No byte of it has come. */
    Idle,
    /** Its line or header fields are being read. */
    Header,
    Body,
    Whole,
    /** Whole, and its body was larger than allowed and thrown away: 413. */
    BodyTooLarge,
    /** The header fields are larger than allowed: 431. Nothing more can be read. */
    HeaderTooLarge,
    /** The stated body is too large even to be thrown away: 413. Nothing more can be read. */
    BodyRefused,
    /** These bytes are no HTTP: 400. Nothing more can be read. */
    Malformed
};

/**
 * Reads the requests of one connection from its bytes, one after the other (http-parser).
 * Guard against smuggled requests: a message with both a length and chunks, two lengths, or a malformed field is
 * Malformed, and nothing behind it on the connection is read.
 */
class RequestParser
{
public:
    explicit RequestParser(const HttpServerSettings &settings);

    /**
     * Reads bytes up to the end of one request at most.
     * @return how many were read; fewer than given once the stage is Whole or beyond
     */
    std::size_t read(std::string_view bytes);

    ParseStage stage() const;

    /** @return whether the connection may go on after the request; valid once its header fields were read */
    bool keepsConnection() const;

    /** @return whether the caller waits for "100 Continue" before it sends the body */
    bool expectsContinue() const;

    /** @return the request that is Whole; the parser is Idle after it */
    HttpRequest take();

private:
    friend struct ParserCallbacks;

    const HttpServerSettings &settings;
    http_parser parser{};
    HttpRequest request;
    ParseStage current = ParseStage::Idle;
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
    bool inFieldValue = false;
    bool keeps = false;
    bool discards = false;
};

} // namespace bergamotweir::net
