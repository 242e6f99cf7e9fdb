#pragma once

#include "base/Finding.h"

#include <set>
#include <string>
#include <vector>

namespace bergamotweir::table {

class Table;

/** What operators marked out of service, beside the table. */
struct Marks {
    std::set<std::string> failureDomainsOut;
    std::set<std::string> upstreamsOut;

    bool operator==(const Marks &other) const = default;
};

/** An upstream that announced itself. */
struct KnownUpstream {
    std::string service;
    std::string failureDomain;
    std::string name;
};

/** @return true when the table, its weight and the marks all leave the upstream in service */
bool isInService(const Table &table, const Marks &marks, const KnownUpstream &upstream);

/**
 * Looks for services that a change would leave without any upstream or failure domain in service.
 * @param before table and marks in force
 * @param after table and marks after the change
 * @param known the upstreams that announced themselves
 * @return one finding for each service that has an upstream in service before and none after
 */
Findings warnings(const Table &before,
                  const Marks &marksBefore,
                  const Table &after,
                  const Marks &marksAfter,
                  const std::vector<KnownUpstream> &known);

} // namespace bergamotweir::table
