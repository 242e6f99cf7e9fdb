// Measures the cost of the burn report to an agent: time per request, memory by number of services and upstreams, and
// size of a report. Seeded; prints one line for each combination.

#include "report/BurnReport.h"
#include "report/BurnState.h"
#include "table/Table.h"

#include <pcg_random.hpp>

#include <malloc.h>

#include <cstdio>
#include <string>
#include <vector>

using namespace bergamotweir;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 20261202;
constexpr unsigned Requests = 1000000;
/** One request in this number fails. */
constexpr unsigned RequestsPerFailure = 20;

std::vector<std::string> names(const char *prefix, unsigned count)
{
    std::vector<std::string> all;
    for (unsigned i = 0; i < count; ++i) {
        all.push_back(prefix + std::to_string(i));
    }
    return all;
}

std::size_t heapInUse()
{
    return mallinfo2().uordblks;
}

void measure(unsigned serviceCount, unsigned upstreamCount)
{
    const std::vector<std::string> services = names("service", serviceCount);
    const std::vector<std::string> upstreams = names("upstream", upstreamCount);
    std::string csv = "service\n";
    for (const std::string &service : services) {
        csv += service + "\n";
    }
    const table::Table table = table::Table::parse(csv).value();
    const std::size_t before = heapInUse();
    report::BurnState state;
    report::setObjectives(state, table);
    const std::size_t emptyBytes = heapInUse() - before;
    pcg32 random(Seed);
    BootTime now{1h};
    const BootTime startedAt = BootClock::now();
    for (unsigned i = 0; i < Requests; ++i, now += 1ms) {
        report::CompletedRequest request;
        request.service = services[random(serviceCount)];
        request.upstream = upstreams[random(upstreamCount)];
        request.failureDomain = "bne-a";
        request.outcome = random(RequestsPerFailure) == 0 ? report::Outcome::Failed : report::Outcome::Answered;
        request.latency = std::chrono::microseconds(random(20000));
        report::record(state, request, now);
    }
    const auto elapsed = BootClock::now() - startedAt;
    const std::size_t fullBytes = heapInUse() - before;
    const std::string json = report::toJson(report::makeReport(state, now));
    std::printf("services %u upstreams %u: %.0f ns a request, %zu bytes empty, %zu bytes full, report %zu bytes\n",
                serviceCount,
                upstreamCount,
                static_cast<double>(elapsed.count()) / Requests,
                emptyBytes,
                fullBytes,
                json.size());
}

} // namespace

int main()
{
    for (const unsigned upstreams : {4U, 16U, 64U, 256U, 1024U}) {
        measure(1, upstreams);
    }
    for (const unsigned services : {4U, 16U, 64U}) {
        measure(services, 16);
    }
    return 0;
}
