#pragma once

#include "net/HttpRequest.h"
#include "net/HttpServerSettings.h"

#include <http_parser.h>

#include <string_view>

namespace bergamotweir::net {

/** Progress of a RequestParser with the request that it reads. */
enum class ParseStage {
    /** No byte of the request has been read. */
    Idle,
    /** The request line or the header fields are being read. */
    Header,
    Body,
    Complete,
    /** The request was read, but its body was larger than allowed and was discarded: 413. */
    BodyTooLarge,
    /** The header fields are larger than allowed: 431. The connection cannot be read further. */
    HeaderTooLarge,
    /** The body is too large even to be read and discarded: 413. The connection cannot be read further. */
    BodyRefused,
    /** The bytes are not valid HTTP: 400. The connection cannot be read further. */
    Malformed
};

/**
 * Parses the requests of one connection, one after the other (http-parser).
 * Guards against request smuggling: a message with both a length and chunked encoding, with two lengths, or with a
 * malformed field is Malformed, and nothing behind it on the connection is read.
 */
class RequestParser
{
public:
    explicit RequestParser(const HttpServerSettings &settings);

    /**
     * Reads bytes, at most up to the end of one request.
     * @return number of bytes read; may be fewer than given when the stage is Complete or a later one
     */
    std::size_t read(std::string_view bytes);

    ParseStage stage() const;

    /** @return whether the connection stays open after the request; valid when its header fields have been read */
    bool keepsConnection() const;

    /** @return whether the caller waits for "100 Continue" before it sends the body */
    bool expectsContinue() const;

    /** Returns the request, which must be Complete, and makes the parser Idle. */
    HttpRequest take();

private:
    friend struct ParserCallbacks;

    const HttpServerSettings &settings;
    http_parser parser{};
    HttpRequest request;
    ParseStage currentStage = ParseStage::Idle;
    std::size_t headerBytes = 0;
    std::size_t bodyBytes = 0;
    bool inFieldValue = false;
    bool keepsAlive = false;
    bool discardsBody = false;
};

} // namespace bergamotweir::net
