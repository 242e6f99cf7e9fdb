#include "net/AnswerText.h"

#include "net/Problem.h"

#include <http_parser.h>

#include <charconv>
#include <string_view>

namespace bergamotweir::net {

namespace {

constexpr int LowestFinalStatus = 200;
constexpr int HighestStatus = 999;
constexpr int NoContent = 204;
constexpr int NotModified = 304;
/** Reserved for the status line and the fields that are added here, and for each header field. */
constexpr std::size_t FramingBytes = 128;

/** @return whether answers of this status never have a body */
bool isBodiless(int status)
{
    return status == NoContent || status == NotModified;
}

/** Guards against response splitting: a line end within a field would let the sender of the field add a second answer.
 */
bool isOneLine(const Header &header)
{
    constexpr std::string_view LineEnds("\r\n\0", 3);
    return header.name.find_first_of(LineEnds) == std::string::npos
           && header.value.find_first_of(LineEnds) == std::string::npos;
}

std::size_t lengthOf(const HttpAnswer &answer, bool head)
{
    const std::string *stated = head ? findHeader(answer.headers, "Content-Length") : nullptr;
    std::size_t length = answer.body.size();
    if (stated != nullptr) {
        std::from_chars(stated->data(), stated->data() + stated->size(), length);
    }
    return length;
}

void addField(std::string &text, std::string_view name, std::string_view value)
{
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
}

} // namespace

std::string answerText(const HttpAnswer &answer, AnswerFraming framing)
{
    if (answer.status < LowestFinalStatus || answer.status > HighestStatus) {
        return answerText(problem(502, "Bad answer", "The answer had no final status.", RequestRan::Unknown), framing);
    }
    std::string text;
    text.reserve(FramingBytes * (answer.headers.size() + 1) + answer.body.size());
    text += "HTTP/1.1 " + std::to_string(answer.status) + " ";
    text += http_status_str(static_cast<http_status>(answer.status));
    text += "\r\n";
    for (const Header &header : answer.headers) {
        if (!isConnectionHeader(header.name) && isOneLine(header)) {
            addField(text, header.name, header.value);
        }
    }
    if (!isBodiless(answer.status)) {
        addField(text, "Content-Length", std::to_string(lengthOf(answer, framing.head)));
    }
    if (framing.closes) {
        addField(text, "Connection", "close");
    }
    text += "\r\n";
    if (!framing.head && !isBodiless(answer.status)) {
        text += answer.body;
    }
    return text;
}

} // namespace bergamotweir::net
