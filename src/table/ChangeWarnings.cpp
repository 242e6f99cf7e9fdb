#include "table/ChangeWarnings.h"

#include "table/Table.h"

#include <map>

namespace bergamotweir::table {

bool isInService(const Table &table, const Marks &marks, const KnownUpstream &upstream)
{
    const UpstreamPolicy policy = table.upstream(upstream.service, upstream.failureDomain, upstream.name);
    return table.hasService(upstream.service) && policy.inService && policy.weight > 0
           && !marks.failureDomainsOut.contains(upstream.failureDomain) && !marks.upstreamsOut.contains(upstream.name);
}

Findings warnings(const Table &before,
                  const Marks &marksBefore,
                  const Table &after,
                  const Marks &marksAfter,
                  const std::vector<KnownUpstream> &known)
{
    struct Count {
        unsigned before = 0;
        unsigned after = 0;
        std::set<std::string> domainsBefore;
    };
    std::map<std::string, Count> counts;
    for (const KnownUpstream &upstream : known) {
        Count &count = counts[upstream.service];
        if (isInService(before, marksBefore, upstream)) {
            ++count.before;
            count.domainsBefore.insert(upstream.failureDomain);
        }
        count.after += isInService(after, marksAfter, upstream) ? 1 : 0;
    }
    Findings findings;
    for (const auto &[service, count] : counts) {
        if (count.before == 0 || count.after > 0) {
            continue;
        }
        findings.push_back({"service " + service,
                            "the change takes out its last " + std::to_string(count.before) + " upstream(s), in "
                                + std::to_string(count.domainsBefore.size())
                                + " failure domain(s); its requests would be refused",
                            "--even-if-last to go on"});
    }
    return findings;
}

} // namespace bergamotweir::table
