// Measures the cost of a table by its number of rows: time to parse it, to look up a policy and to compare two tables,
// and memory. Seeded; prints one line for each number of rows.

#include "base/BootClock.h"
#include "table/RowDifference.h"
#include "table/Table.h"

#include <pcg_random.hpp>

#include <malloc.h>

#include <cstdio>
#include <string>

using namespace bergamotweir;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 20261202;
constexpr unsigned Lookups = 200000;
constexpr unsigned Services = 8;
constexpr unsigned FailureDomains = 17;

std::string upstreamName(unsigned number)
{
    return "upstream-" + std::to_string(number);
}

/** @return a table with one row for each upstream, each with its own weight and limit */
std::string tableText(unsigned rows, unsigned seed)
{
    pcg32 random(Seed + seed);
    std::string csv = "service,failure_domain,upstream,weight,limit\n";
    for (unsigned i = 0; i < rows; ++i) {
        csv += "service-" + std::to_string(i % Services) + ",domain-" + std::to_string(i % FailureDomains) + ","
               + upstreamName(i) + "," + std::to_string(1 + random(4)) + "," + std::to_string(random(100)) + "\n";
    }
    return csv;
}

double milliseconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

void measure(unsigned rows)
{
    const std::string csv = tableText(rows, 0);
    const std::size_t before = mallinfo2().uordblks;
    const BootTime startedAt = BootClock::now();
    const table::Table table = table::Table::parse(csv).value();
    const BootTime parsedAt = BootClock::now();
    const std::size_t bytes = mallinfo2().uordblks - before;
    pcg32 random(Seed);
    double weights = 0;
    for (unsigned i = 0; i < Lookups; ++i) {
        const unsigned row = random(rows);
        weights += table.upstream("service-" + std::to_string(row % Services), "domain-1", upstreamName(row)).weight;
    }
    const BootTime lookedUpAt = BootClock::now();
    const table::Table other = table::Table::parse(tableText(rows, 1)).value();
    const BootTime compareStartedAt = BootClock::now();
    const std::size_t differing = table::differences(table, other).size();
    const BootTime comparedAt = BootClock::now();
    std::printf("rows %u: text %zu bytes, read in %.2f ms, %zu bytes held, %.0f ns a look-up (sum %.0f), "
                "compared in %.2f ms (%zu differ)\n",
                rows,
                csv.size(),
                milliseconds(parsedAt - startedAt),
                bytes,
                static_cast<double>((lookedUpAt - parsedAt).count()) / Lookups,
                weights,
                milliseconds(comparedAt - compareStartedAt),
                differing);
}

} // namespace

int main()
{
    for (const unsigned rows : {20U, 200U, 2000U, 6400U, 20000U}) {
        measure(rows);
    }
    return 0;
}
