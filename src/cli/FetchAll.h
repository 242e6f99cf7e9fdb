#pragma once

#include "base/Result.h"

#include <chrono>
#include <string>
#include <vector>

namespace bergamotweir::cli {

/**
 * Fetches many small documents by HTTP GET with libcurl, some dozens at once. In a deployment of thousands of agents
 * all agents of a failure domain may be unreachable; their time-outs would add up to minutes if they passed one after
 * another.
 * @param timeout of each document
 * @return for each url, in order, the document or the reason why it could not be fetched
 */
std::vector<Result<std::string>> fetchAll(const std::vector<std::string> &urls, std::chrono::milliseconds timeout);

} // namespace bergamotweir::cli
