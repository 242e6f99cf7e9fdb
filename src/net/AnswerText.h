#pragma once

#include "net/HttpAnswer.h"

#include <string>

namespace bergamotweir::net {

/** Properties of the request and the connection that the framing of an answer depends on. */
struct AnswerFraming {
    /** The request was a HEAD: the answer states the length of the body that GET would return, and has no body. */
    bool isHead = false;
    /** The connection is closed after the answer. */
    bool closesConnection = false;
};

/**
 * Serializes an answer as HTTP/1.1 with Content-Length.
 * @param answer the answer; one without a final status is replaced by a 502
 * @return the bytes to send
 */
std::string answerText(const HttpAnswer &answer, AnswerFraming framing);

} // namespace bergamotweir::net
