#include "FetchAll.h"
#include "cli/Context.h"
#include "rpc/OperatorClient.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace bergamotweir::cli {

namespace {

std::optional<std::string> readVariable(const std::string &variable)
{
    const char *value = std::getenv(variable.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

Result<std::string> readWholeFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file || !text) {
        return oneFinding("file " + path, "can't be read", {});
    }
    return std::move(text).str();
}

std::string randomChangeId()
{
    std::random_device random;
    std::ostringstream text;
    text << "ch-" << std::hex << random() << random();
    return text.str();
}

} // namespace

Context processContext()
{
    return {
        .out = std::cout,
        .err = std::cerr,
        .environment = readVariable,
        .operate = rpc::callOperator,
        .fetchAll = fetchAll,
        .readFile = readWholeFile,
        .newChangeId = randomChangeId,
        .wallClock = std::chrono::system_clock::now,
        .sleep =
            [](std::chrono::milliseconds span) {
                std::this_thread::sleep_for(span);
            },
    };
}

} // namespace bergamotweir::cli
