#pragma once

#include "base/Result.h"

#include <chrono>
#include <string>
#include <vector>

namespace bergamotweir::cli {

/**
 * HTTP GET of many small documents by libcurl, some dozens at once: of thousands of agents a failure domain's may be
 * lost, and one timeout after another would take minutes.
 * @param timeout for each document
 * @return the documents in the order of the urls, or why one could not be had
 */
std::vector<Result<std::string>> fetchAll(const std::vector<std::string> &urls, std::chrono::milliseconds timeout);

} // namespace bergamotweir::cli
