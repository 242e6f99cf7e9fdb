#include "agent/LeavingUpstreams.h"

#include <catch2/catch.hpp>

using namespace bergamotweir;
using namespace bergamotweir::agent;
using namespace std::chrono_literals;

namespace {

constexpr BootTime Start{100s};

std::vector<std::uint32_t> idsOf(const std::vector<Candidate> &candidates)
{
    std::vector<std::uint32_t> ids;
    ids.reserve(candidates.size());
    for (const Candidate &candidate : candidates) {
        ids.push_back(candidate.upstream);
    }
    return ids;
}

} // namespace

TEST_CASE("leaving upstreams: requests are sent for a second after the first statement, later ones don't extend it")
{
    LeavingUpstreams leaving;
    CHECK(takesRequests(leaving, 1, Start));
    CHECK(recordLeaving(leaving, 1, Start));
    CHECK_FALSE(recordLeaving(leaving, 1, Start + 900ms));
    CHECK(takesRequests(leaving, 1, Start + 999ms));
    CHECK_FALSE(takesRequests(leaving, 1, Start + 1s));
    CHECK(takesRequests(leaving, 2, Start + 1s));
}

// Guards against requests refused for want of an upstream while the only ones of a service are leaving.
TEST_CASE("leaving upstreams: they are avoided at once where others serve, and used for a second where none does")
{
    const std::vector<Candidate> candidates{{.upstream = 1}, {.upstream = 2}, {.upstream = 3}};
    LeavingUpstreams leaving;
    recordLeaving(leaving, 1, Start);
    recordLeaving(leaving, 2, Start + 500ms);
    CHECK(idsOf(withoutLeaving(leaving, candidates, Start + 500ms)) == std::vector<std::uint32_t>{3});
    recordLeaving(leaving, 3, Start + 500ms);
    CHECK(idsOf(withoutLeaving(leaving, candidates, Start + 600ms)) == std::vector<std::uint32_t>{1, 2, 3});
    CHECK(idsOf(withoutLeaving(leaving, candidates, Start + 1s)) == std::vector<std::uint32_t>{2, 3});
    CHECK(withoutLeaving(leaving, candidates, Start + 1500ms).empty());
}
