#pragma once

#include <optional>

namespace bergamotweir::process {

/** What an upstream states about itself with an answer. */
struct UpstreamNotice {
    /** Requests per second that it accepts from all agents together; nullopt if it states no limit. */
    std::optional<double> rateLimit;
    /** It states a limit that can't be read. */
    bool hasMalformedLimit = false;
    /** It ends soon, and takes no new requests. */
    bool isLeaving = false;

    bool operator==(const UpstreamNotice &other) const = default;
};

} // namespace bergamotweir::process
