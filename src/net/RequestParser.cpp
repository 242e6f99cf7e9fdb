#include "net/RequestParser.h"

#include <algorithm>
#include <cctype>
#include <limits>
#include <strings.h>
#include <utility>

namespace bergamotweir::net {

namespace {

/** Bytes of a header field besides its name and value: colon, space and line end. */
constexpr std::size_t FieldOverhead = 4;
/** The length that http-parser reports for a message that states none. */
constexpr std::uint64_t NoLength = std::numeric_limits<std::uint64_t>::max();

constexpr int GoOn = 0;
/** Must not be 0 to 2, which have other meanings as the result of on_headers_complete. */
constexpr int Stop = -1;

/** @return whether this is a valid field name (RFC 9110, 5.6.2); some builds of http-parser accept others too */
bool isToken(const std::string &name)
{
    constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [&](char letter) {
        const auto code = static_cast<unsigned char>(letter);
        return std::isalnum(code) != 0 || Marks.find(letter) != std::string_view::npos;
    });
}

/** @return whether the message uses a transfer encoding that is not supported, so that its end is unknown */
bool hasUnknownFraming(const http_parser &parser, const std::vector<Header> &headers)
{
    return findHeader(headers, "Transfer-Encoding") != nullptr && (parser.flags & F_CHUNKED) == 0;
}

} // namespace

/** Callbacks of http-parser; each returns Stop to end parsing. */
struct ParserCallbacks {
    static RequestParser &of(http_parser *parser)
    {
        return *static_cast<RequestParser *>(parser->data);
    }

    static int begin(http_parser *parser)
    {
        of(parser).current = ParseStage::Header;
        return GoOn;
    }

    static int count(RequestParser &reader, std::size_t bytes)
    {
        reader.headerBytes += bytes;
        if (reader.headerBytes <= reader.settings.maxHeaderBytes) {
            return GoOn;
        }
        reader.current = ParseStage::HeaderTooLarge;
        return Stop;
    }

    static int target(http_parser *parser, const char *text, std::size_t length)
    {
        RequestParser &reader = of(parser);
        reader.request.target.append(text, length);
        return count(reader, length);
    }

    static int fieldName(http_parser *parser, const char *text, std::size_t length)
    {
        RequestParser &reader = of(parser);
        if (reader.inFieldValue || reader.request.headers.empty()) {
            reader.request.headers.emplace_back();
            reader.inFieldValue = false;
            reader.headerBytes += FieldOverhead;
        }
        reader.request.headers.back().name.append(text, length);
        return count(reader, length);
    }

    static int fieldValue(http_parser *parser, const char *text, std::size_t length)
    {
        RequestParser &reader = of(parser);
        reader.inFieldValue = true;
        reader.request.headers.back().value.append(text, length);
        return count(reader, length);
    }

    static int headersEnd(http_parser *parser)
    {
        RequestParser &reader = of(parser);
        reader.current = ParseStage::Body;
        reader.request.method = http_method_str(static_cast<http_method>(parser->method));
        reader.keeps = http_should_keep_alive(parser) != 0;
        const std::vector<Header> &fields = reader.request.headers;
        const bool named = std::all_of(fields.begin(), fields.end(), [](const Header &field) {
            return isToken(field.name);
        });
        if (!named || hasUnknownFraming(*parser, fields)) {
            reader.current = ParseStage::Malformed;
            return Stop;
        }
        // Ignores an offer to change the protocol (Upgrade), as a server may.
        parser->upgrade = 0;
        for (Header &header : reader.request.headers) {
            header.value.erase(header.value.find_last_not_of(" \t") + 1);
        }
        const std::uint64_t length = parser->content_length;
        if (length != NoLength && length > reader.settings.maxDiscardedBytes) {
            reader.current = ParseStage::BodyRefused;
            return Stop;
        }
        if (length != NoLength) {
            reader.request.body.reserve(std::min<std::size_t>(length, reader.settings.maxBodyBytes));
        }
        return GoOn;
    }

    static int body(http_parser *parser, const char *bytes, std::size_t length)
    {
        RequestParser &reader = of(parser);
        reader.bodyBytes += length;
        if (reader.bodyBytes > reader.settings.maxDiscardedBytes) {
            reader.current = ParseStage::BodyRefused;
            return Stop;
        }
        reader.discards = reader.bodyBytes > reader.settings.maxBodyBytes;
        if (!reader.discards) {
            reader.request.body.append(bytes, length);
        }
        return GoOn;
    }

    static int end(http_parser *parser)
    {
        RequestParser &reader = of(parser);
        reader.current = reader.discards ? ParseStage::BodyTooLarge : ParseStage::Whole;
        http_parser_pause(parser, 1);
        return GoOn;
    }

    static http_parser_settings all()
    {
        http_parser_settings callbacks;
        http_parser_settings_init(&callbacks);
        callbacks.on_message_begin = begin;
        callbacks.on_url = target;
        callbacks.on_header_field = fieldName;
        callbacks.on_header_value = fieldValue;
        callbacks.on_headers_complete = headersEnd;
        callbacks.on_body = body;
        callbacks.on_message_complete = end;
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
    static const http_parser_settings callbacks = ParserCallbacks::all();
    if (this->current >= ParseStage::Whole) {
        return 0;
    }
    const std::size_t count = http_parser_execute(&this->parser, &callbacks, bytes.data(), bytes.size());
    const http_errno error = HTTP_PARSER_ERRNO(&this->parser);
    if (error != HPE_OK && this->current < ParseStage::Whole) {
        this->current = ParseStage::Malformed;
    }
    return count;
}

ParseStage RequestParser::stage() const
{
    return this->current;
}

bool RequestParser::keepsConnection() const
{
    return this->keeps;
}

bool RequestParser::expectsContinue() const
{
    const std::string *expected = findHeader(this->request.headers, "Expect");
    return this->current == ParseStage::Body && this->bodyBytes == 0 && expected != nullptr
           && strcasecmp(expected->c_str(), "100-continue") == 0;
}

HttpRequest RequestParser::take()
{
    http_parser_pause(&this->parser, 0);
    this->current = ParseStage::Idle;
    this->headerBytes = 0;
    this->bodyBytes = 0;
    this->inFieldValue = false;
    this->discards = false;
    return std::exchange(this->request, {});
}

} // namespace bergamotweir::net
