#include "net/AnswerText.h"

#include "net/Problem.h"

#include <http_parser.h>

#include <charconv>
#include <string_view>

namespace bergamotweir::net {

namespace {

constexpr int MinFinalStatus = 200;
constexpr int MaxStatus = 999;
constexpr int NoContent = 204;
constexpr int NotModified = 304;
/** Reserved for the status line and the fields that are added here, and for each header field. */
constexpr std::size_t FramingBytes = 128;

/** @return whether answers of this status never have a body */
bool hasNoBody(int status)
{
    return status == NoContent || status == NotModified;
}

/**
 * Guards against response splitting: a line end within a field would let the sender of the field add a second answer.
 */
bool hasNoLineEnd(const Header &header)
{
    constexpr std::string_view LineEnds("\r\n\0", 3);
    return header.name.find_first_of(LineEnds) == std::string::npos
           && header.value.find_first_of(LineEnds) == std::string::npos;
}

std::size_t contentLengthOf(const HttpAnswer &answer, bool isHead)
{
    const std::string *stated = isHead ? findHeader(answer.headers, "Content-Length") : nullptr;
    std::size_t length = answer.body.size();
    if (stated != nullptr) {
        std::from_chars(stated->data(), stated->data() + stated->size(), length);
    }
    return length;
}

void appendField(std::string &text, std::string_view name, std::string_view value)
{
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
}

} // namespace

std::string answerText(const HttpAnswer &answer, AnswerFraming framing)
{
    if (answer.status < MinFinalStatus || answer.status > MaxStatus) {
        return answerText(problem(502, "Bad answer", "The answer had no final status.", RequestRan::Unknown), framing);
    }
    std::string text;
    text.reserve(FramingBytes * (answer.headers.size() + 1) + answer.body.size());
    text += "HTTP/1.1 " + std::to_string(answer.status) + " ";
    text += http_status_str(static_cast<http_status>(answer.status));
    text += "\r\n";
    for (const Header &header : answer.headers) {
        if (!isConnectionHeader(header.name) && hasNoLineEnd(header)) {
            appendField(text, header.name, header.value);
        }
    }
    if (!hasNoBody(answer.status)) {
        appendField(text, "Content-Length", std::to_string(contentLengthOf(answer, framing.isHead)));
    }
    if (framing.closesConnection) {
        appendField(text, "Connection", "close");
    }
    text += "\r\n";
    if (!framing.isHead && !hasNoBody(answer.status)) {
        text += answer.body;
    }
    return text;
}

} // namespace bergamotweir::net
