#pragma once

#include "base/Result.h"
#include "control.pb.h"

#include <chrono>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace bergamotweir::cli {

/** Access of a command to everything outside the program; tests replace it by fakes. */
struct Context {
    std::ostream &out;
    std::ostream &err;
    std::function<std::optional<std::string>(const std::string &variable)> environment;
    /** Sends a request to the control group; see rpc::callOperator. */
    std::function<wire::OperatorReply(const std::vector<std::string> &controls,
                                      const wire::OperatorRequest &request,
                                      std::chrono::milliseconds timeout)>
        operate;
    /** Fetches small documents by HTTP GET, many at once. @param timeout of each fetch; results in the order of the
     * urls
     */
    std::function<std::vector<Result<std::string>>(const std::vector<std::string> &urls,
                                                   std::chrono::milliseconds timeout)>
        fetchAll;
    std::function<Result<std::string>(const std::string &path)> readFile;
    std::function<std::string()> newChangeId;
    std::function<std::chrono::system_clock::time_point()> wallClock;
    std::function<void(std::chrono::milliseconds)> sleep;
};

/** @return the context of the process, which writes to standard output and standard error */
Context processContext();

} // namespace bergamotweir::cli
