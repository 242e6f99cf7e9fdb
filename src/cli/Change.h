#pragma once

#include "Answer.h"
#include "base/Result.h"
#include "base/UnixTime.h"
#include "table/ChangeWarnings.h"
#include "table/Table.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bergamotweir::cli {

/** What is in force before a change, as the leader tells it. */
struct Situation {
    std::uint64_t tableVersion = 0;
    table::Table table;
    table::Marks marks;
    std::vector<table::KnownUpstream> upstreams;
};

/** Who makes a change, and under which id. */
struct ChangeStamp {
    std::string changeId;
    std::string author;
    UnixTime time;
};

/** Reads table, marks and upstreams in force; a failure says that nothing was changed. */
Result<Situation> readSituation(const Values &values, Context &context);

/** @return id and author from the settings, or new ones */
ChangeStamp stamp(const Values &values, Context &context);

/**
 * Sends a change and waits until it is in force, where the settings ask for it.
 * @param request the change, stamped
 * @param changeId the id in it
 * @return what to print; names the agents which don't have it in force yet, exit code ExitUnknown then
 */
Answer
makeChange(const wire::OperatorRequest &request, const std::string &changeId, const Values &values, Context &context);

} // namespace bergamotweir::cli
