#pragma once

#include "base/Result.h"
#include "net/CallResult.h"
#include "net/HttpCall.h"
#include "process/Announcement.h"
#include "process/RequestMetadata.h"
#include "process/UpstreamNotice.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotweir::process {

/**
 * The adapter to the upstream's protocol. All that depends on the protocol's paths, JSON and header fields is here, so
 * that supporting another protocol means replacing this file alone.
 */

/** A range of the key hash space, end excluded; an end of 0 means the end of the space. */
struct GrantedRange {
    std::uint64_t begin = 0;
    std::uint64_t end = 0;

    bool operator==(const GrantedRange &other) const = default;
};

/** The ranges that an upstream is ordered to serve. */
struct Grant {
    std::string service;
    std::vector<GrantedRange> ranges;
    std::uint64_t epoch = 0;
    /** Time from now until the grant expires. */
    std::chrono::milliseconds expires{0};
};

/** @return the announcement in the body of POST /announce, or all findings about it */
Result<Announcement> parseAnnouncement(std::string_view body);

net::HttpCall grantsCall(const std::string &address, const Grant &grant);
net::HttpCall revokeCall(const std::string &address, const Grant &grant);
net::HttpCall drainCall(const std::string &address);
net::HttpCall cancelCall(const std::string &address, const std::string &requestId);
net::HttpCall healthCall(const std::string &address, std::chrono::milliseconds timeout);

/** Adds the header fields that accompany a request to an upstream. */
void addRequestMetadata(net::HttpCall &call, const RequestMetadata &metadata);

/**
 * Reads how a request ended at an upstream.
 * An answer of 503 with Request-Ran: no means that the upstream shed the request. Any other refusal with
 * Request-Ran: no comes from an upstream that checks its grants and found the request outside of them.
 */
AttemptResult readAttemptResult(const net::CallResult &result);

/** Names of the header fields by which an upstream states a notice. */
struct NoticeHeaders {
    const char *rateLimit = "Upstream-Rate-Limit";
    const char *leaving = "Upstream-Leaving";
};

/**
 * Reads what an upstream states about itself with an answer.
 * @param names the header fields; the defaults are those of the project's own protocol
 * @return the notice; a limit that isn't a decimal number of 0 or more is malformed
 */
UpstreamNotice readNotice(const net::HttpAnswer &answer, const NoticeHeaders &names = {});

/** @return how a request without a complete answer ended; the same in every protocol */
AttemptResult readUnanswered(const net::CallResult &result);

} // namespace bergamotweir::process
