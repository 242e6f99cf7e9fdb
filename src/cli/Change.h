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

/** Table, marks and upstreams in force before a change, as reported by the leader. */
struct CurrentState {
    std::uint64_t tableVersion = 0;
    table::Table table;
    table::Marks marks;
    std::vector<table::KnownUpstream> upstreams;
};

/** Id, author and time of a change. */
struct ChangeMetadata {
    std::string changeId;
    std::string author;
    UnixTime time;
};

/** Reads table, marks and upstreams in force. The findings of a failure say that nothing was changed. */
Result<CurrentState> readCurrentState(const Values &values, Context &context);

/** @return id and author from the settings; a new id and the login name if they are not given */
ChangeMetadata makeChangeMetadata(const Values &values, Context &context);

/**
 * Sends a change and, with --wait, waits until it is in force.
 * @param request the change with its metadata
 * @param changeId the change id in the request
 * @return the answer to print; if some agents don't have the change in force yet, it names them and has the exit code
 * ExitUnknown
 */
Answer
submitChange(const wire::OperatorRequest &request, const std::string &changeId, const Values &values, Context &context);

} // namespace bergamotweir::cli
