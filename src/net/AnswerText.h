#pragma once

#include "net/HttpAnswer.h"

#include <string>

namespace bergamotweir::net {

/** What the framing of an answer depends on beside the answer itself. */
struct AnswerFraming {
    /** The request was a HEAD: the length of the body that GET would bring, and no body. */
    bool head = false;
    /** The connection ends after it. */
    bool closes = false;
};

/**
 * Writes an answer as HTTP/1.1, its body with a stated length.
 * @param answer one without a final status becomes a 502 of our own
 * @return the bytes to send
 */
std::string answerText(const HttpAnswer &answer, AnswerFraming framing);

} // namespace bergamotweir::net
