#include "net/RequestParser.h"

#include <algorithm>
#include <cctype>
#include <limits>
#include <strings.h>
#include <utility>

namespace bergamotweir::net {

namespace {

/** Bytes of a header field besides its name and value: colon, space and line end. */
constexpr std::size_t FieldOverheadBytes = 4;
/** The length that http-parser reports for a message that states none. */
constexpr std::uint64_t UnstatedLength = std::numeric_limits<std::uint64_t>::max();

constexpr int Proceed = 0;
/** Must not be 0 to 2, which have other meanings as the result of on_headers_complete. */
constexpr int Stop = -1;

/** @return whether this is a valid field name (RFC 9110, 5.6.2); some builds of http-parser accept others too */
bool isToken(const std::string &name)
{
    constexpr std::string_view TokenSymbols = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [&](char letter) {
        const auto code = static_cast<unsigned char>(letter);
        return std::isalnum(code) != 0 || TokenSymbols.find(letter) != std::string_view::npos;
    });
}

/** @return whether the message uses a transfer encoding that is not supported, so that its end is unknown */
bool hasUnsupportedFraming(const http_parser &parser, const std::vector<Header> &headers)
{
    return findHeader(headers, "Transfer-Encoding") != nullptr && (parser.flags & F_CHUNKED) == 0;
}

} // namespace

/** Callbacks of http-parser; each returns Stop to end parsing. */
struct ParserCallbacks {
    static RequestParser &readerOf(http_parser *parser)
    {
        return *static_cast<RequestParser *>(parser->data);
    }

    static int onBegin(http_parser *parser)
    {
        readerOf(parser).currentStage = ParseStage::Header;
        return Proceed;
    }

    static int addHeaderBytes(RequestParser &reader, std::size_t bytes)
    {
        reader.headerBytes += bytes;
        if (reader.headerBytes <= reader.settings.maxHeaderBytes) {
            return Proceed;
        }
        reader.currentStage = ParseStage::HeaderTooLarge;
        return Stop;
    }

    static int onTarget(http_parser *parser, const char *text, std::size_t length)
    {
        RequestParser &reader = readerOf(parser);
        reader.request.target.append(text, length);
        return addHeaderBytes(reader, length);
    }

    static int onFieldName(http_parser *parser, const char *text, std::size_t length)
    {
        RequestParser &reader = readerOf(parser);
        if (reader.inFieldValue || reader.request.headers.empty()) {
            reader.request.headers.emplace_back();
            reader.inFieldValue = false;
            reader.headerBytes += FieldOverheadBytes;
        }
        reader.request.headers.back().name.append(text, length);
        return addHeaderBytes(reader, length);
    }

    static int onFieldValue(http_parser *parser, const char *text, std::size_t length)
    {
        RequestParser &reader = readerOf(parser);
        reader.inFieldValue = true;
        reader.request.headers.back().value.append(text, length);
        return addHeaderBytes(reader, length);
    }

    static int onHeadersComplete(http_parser *parser)
    {
        RequestParser &reader = readerOf(parser);
        reader.currentStage = ParseStage::Body;
        reader.request.method = http_method_str(static_cast<http_method>(parser->method));
        reader.keepsAlive = http_should_keep_alive(parser) != 0;
        const std::vector<Header> &fields = reader.request.headers;
        const bool hasValidNames = std::all_of(fields.begin(), fields.end(), [](const Header &field) {
            return isToken(field.name);
        });
        if (!hasValidNames || hasUnsupportedFraming(*parser, fields)) {
            reader.currentStage = ParseStage::Malformed;
            return Stop;
        }
        // Ignores an offer to change the protocol (Upgrade), as a server may.
        parser->upgrade = 0;
        for (Header &header : reader.request.headers) {
            header.value.erase(header.value.find_last_not_of(" \t") + 1);
        }
        const std::uint64_t length = parser->content_length;
        if (length != UnstatedLength && length > reader.settings.maxDiscardedBytes) {
            reader.currentStage = ParseStage::BodyRefused;
            return Stop;
        }
        if (length != UnstatedLength) {
            reader.request.body.reserve(std::min<std::size_t>(length, reader.settings.maxBodyBytes));
        }
        return Proceed;
    }

    static int onBody(http_parser *parser, const char *bytes, std::size_t length)
    {
        RequestParser &reader = readerOf(parser);
        reader.bodyBytes += length;
        if (reader.bodyBytes > reader.settings.maxDiscardedBytes) {
            reader.currentStage = ParseStage::BodyRefused;
            return Stop;
        }
        reader.discardsBody = reader.bodyBytes > reader.settings.maxBodyBytes;
        if (!reader.discardsBody) {
            reader.request.body.append(bytes, length);
        }
        return Proceed;
    }

    static int onComplete(http_parser *parser)
    {
        RequestParser &reader = readerOf(parser);
        reader.currentStage = reader.discardsBody ? ParseStage::BodyTooLarge : ParseStage::Complete;
        http_parser_pause(parser, 1);
        return Proceed;
    }

    static http_parser_settings makeSettings()
    {
        http_parser_settings callbacks;
        http_parser_settings_init(&callbacks);
        callbacks.on_message_begin = onBegin;
        callbacks.on_url = onTarget;
        callbacks.on_header_field = onFieldName;
        callbacks.on_header_value = onFieldValue;
        callbacks.on_headers_complete = onHeadersComplete;
        callbacks.on_body = onBody;
        callbacks.on_message_complete = onComplete;
        return callbacks;
    }
};

RequestParser::RequestParser(const HttpServerSettings &settings)
    : settings(settings)
{
    http_parser_init(&this->parser, HTTP_REQUEST);
    this->parser.data = this;
}

std::size_t RequestParser::read(std::string_view bytes)
{
    static const http_parser_settings callbacks = ParserCallbacks::makeSettings();
    if (this->currentStage >= ParseStage::Complete) {
        return 0;
    }
    const std::size_t count = http_parser_execute(&this->parser, &callbacks, bytes.data(), bytes.size());
    const http_errno error = HTTP_PARSER_ERRNO(&this->parser);
    if (error != HPE_OK && this->currentStage < ParseStage::Complete) {
        this->currentStage = ParseStage::Malformed;
    }
    return count;
}

ParseStage RequestParser::stage() const
{
    return this->currentStage;
}

bool RequestParser::keepsConnection() const
{
    return this->keepsAlive;
}

bool RequestParser::expectsContinue() const
{
    const std::string *expected = findHeader(this->request.headers, "Expect");
    return this->currentStage == ParseStage::Body && this->bodyBytes == 0 && expected != nullptr
           && strcasecmp(expected->c_str(), "100-continue") == 0;
}

HttpRequest RequestParser::take()
{
    http_parser_pause(&this->parser, 0);
    this->currentStage = ParseStage::Idle;
    this->headerBytes = 0;
    this->bodyBytes = 0;
    this->inFieldValue = false;
    this->discardsBody = false;
    return std::exchange(this->request, {});
}

} // namespace bergamotweir::net
