#pragma once

#include "base/Finding.h"

#include <set>
#include <string>
#include <vector>

namespace bergamotweir::table {

class Table;

/** Failure domains and upstreams that operators marked out of service, in addition to the table. */
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

/** @return true when the table and the marks leave the upstream in service and its weight is above 0 */
bool isInService(const Table &table, const Marks &marks, const KnownUpstream &upstream);

/**
 * Finds services that a change would leave without any upstream in service.
 * @param before table and marks in force
 * @param after table and marks after the change
 * @param known the upstreams that announced themselves
 * @return one finding for each service that has an upstream in service before the change and none after it
 */
Findings warnings(const Table &before,
                  const Marks &marksBefore,
                  const Table &after,
                  const Marks &marksAfter,
                  const std::vector<KnownUpstream> &known);

} // namespace bergamotweir::table
