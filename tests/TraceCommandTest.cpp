#include "cli/Context.h"
#include "cli/Run.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace bergamotweir;

namespace {

std::string lineOf(const std::string &second, const std::string &process, const std::string &rest)
{
    return R"({"time":"2026-12-03T01:00:)" + second + R"(Z","level":"info","process":")" + process
           + R"(","part":"request",)" + rest + "}\n";
}

/** Logs of two agents about one refused request, in a folder of this test. */
struct Logs {
    std::filesystem::path folder = std::filesystem::path(TEST_BINARY_FOLDER) / ("trace-" + std::to_string(getpid()));
    std::string first = (this->folder / "a1.log").string();
    std::string second = (this->folder / "a2.log").string();

    Logs()
    {
        std::filesystem::create_directories(this->folder);
        std::ofstream one(this->first);
        one << "some other program's line\n"
            << lineOf("10.000", "a1", R"("event":"request accepted","request":"abc","route":"r1")") << "   1.25 a1 "
            << lineOf("10.001", "a1", R"("event":"upstream chosen","request":"abc","load":0.5)")
            << lineOf("10.002", "a1", R"("event":"message","message":"session closed")")
            << lineOf("10.004", "a1", R"("event":"request refused","left_out":3,"request":"abc","reason":"no-room")")
            << lineOf("10.005", "a1", R"("event":"request accepted","request":"abcd")")
            << R"({"time":"2026-12-03T01:00:10.9)"
            << R"(","request":"abc)"
            << "\n";
        std::ofstream two(this->second);
        two << std::string(200000, 'x') << "\n"
            << lineOf("10.003", "a2", R"("event":"turned away at the gate","request":"abc.1","waiting":7)")
            << lineOf("50.000", "a2", R"("event":"message","message":"much later")");
    }

    ~Logs()
    {
        std::filesystem::remove_all(this->folder);
    }
};

struct CommandOutput {
    int code = 0;
    std::string out;
    std::string err;
};

CommandOutput trace(std::vector<std::string> words)
{
    std::ostringstream out;
    std::ostringstream err;
    cli::Context real = cli::processContext();
    cli::Context context{.out = out,
                         .err = err,
                         .environment = real.environment,
                         .operate = real.operate,
                         .fetchAll = real.fetchAll,
                         .readFile = real.readFile,
                         .newChangeId = real.newChangeId,
                         .wallClock = real.wallClock,
                         .sleep = real.sleep};
    words.insert(words.begin(), "trace");
    const int code = cli::run(words, context);
    return {code, out.str(), err.str()};
}

} // namespace

TEST_CASE("trace: lines of a request in order across processes, with the state of the processes meanwhile")
{
    const Logs logs;
    const CommandOutput output = trace({"abc", logs.second, logs.first});
    REQUIRE(output.code == 0);
    const std::vector<std::string> order{
        "request accepted", "upstream chosen", "(belief)", "turned away at the gate", "request refused"};
    std::size_t position = 0;
    for (const std::string &step : order) {
        const std::size_t found = output.out.find(step, position);
        INFO(step << " in\n" << output.out);
        REQUIRE(found != std::string::npos);
        position = found;
    }
    REQUIRE(output.out.find("abcd") == std::string::npos);
    REQUIRE(output.out.find("much later") == std::string::npos);
    REQUIRE(output.out.find("waiting=7") != std::string::npos);
    REQUIRE(output.out.find("3 lines were left out") != std::string::npos);
    REQUIRE(output.err.find("a1.log:7") != std::string::npos);
}

TEST_CASE("trace: JSON output, and errors for an id in no log and for an unreadable file")
{
    const Logs logs;
    const auto json = nlohmann::json::parse(trace({"abc", logs.first, logs.second, "--json"}).out);
    REQUIRE(json["lines"].size() == 5);
    REQUIRE(json["left_out"] == 3);
    const CommandOutput unknown = trace({"nobody", logs.first, "/no/such/file"});
    REQUIRE(unknown.code == 1);
    REQUIRE(unknown.err.find("no line names the request nobody") != std::string::npos);
    REQUIRE(unknown.err.find("/no/such/file") != std::string::npos);
    REQUIRE(trace({"abc"}).code == 2);
}
