#pragma once

#include "base/Result.h"
#include "net/CallResult.h"
#include "net/HttpCall.h"
#include "process/Announcement.h"
#include "process/RequestMetadata.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotweir::process {

/**
 * The one adapter to the upstream's protocol: everything that knows its paths, JSON and header fields is here, so that
 * another protocol replaces this file alone.
 */

/** A range of the key hash space, end excluded; an end of 0 is the end of the space. */
struct GrantedRange {
    std::uint64_t begin = 0;
    std::uint64_t end = 0;

    bool operator==(const GrantedRange &other) const = default;
};

/** What the upstream is ordered to serve. */
struct Grant {
    std::string service;
    std::vector<GrantedRange> ranges;
    std::uint64_t epoch = 0;
    /** How long from now. */
    std::chrono::milliseconds expires{0};
};

/** @return what the body of POST /announce says, or all that is wrong with it */
Result<Announcement> parseAnnouncement(std::string_view body);

net::HttpCall grantsCall(const std::string &address, const Grant &grant);
net::HttpCall revokeCall(const std::string &address, const Grant &grant);
net::HttpCall drainCall(const std::string &address);
net::HttpCall cancelCall(const std::string &address, const std::string &requestId);
net::HttpCall healthCall(const std::string &address, std::chrono::milliseconds timeout);

/** Adds the header fields of a request on its way to an upstream. */
void addRequestMetadata(net::HttpCall &call, const RequestMetadata &metadata);

/**
 * Reads how a request ended at an upstream.
 * An answer of 503 with Request-Ran: no is a shed one; another refusal with Request-Ran: no is an upstream that checks
 * its grants and found the request outside of them.
 */
AttemptResult readAttemptResult(const net::CallResult &result);

/** @return how a request ended that got no whole answer; the same in every protocol */
AttemptResult readUnanswered(const net::CallResult &result);

} // namespace bergamotweir::process
