#include "agent/LeavingUpstreams.h"

#include <algorithm>
#include <iterator>

namespace bergamotweir::agent {

bool recordLeaving(LeavingUpstreams &leaving, std::uint32_t upstream, BootTime now)
{
    return leaving.since.try_emplace(upstream, now).second;
}

bool takesRequests(const LeavingUpstreams &leaving, std::uint32_t upstream, BootTime now)
{
    const auto found = leaving.since.find(upstream);
    return found == leaving.since.end() || now < found->second + LeavingServeTime;
}

std::vector<Candidate>
withoutLeaving(const LeavingUpstreams &leaving, const std::vector<Candidate> &candidates, BootTime now)
{
    std::vector<Candidate> usable;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(usable), [&](const Candidate &candidate) {
        return !leaving.since.contains(candidate.upstream);
    });
    if (usable.empty()) {
        std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(usable), [&](const Candidate &candidate) {
            return takesRequests(leaving, candidate.upstream, now);
        });
    }
    return usable;
}

} // namespace bergamotweir::agent
