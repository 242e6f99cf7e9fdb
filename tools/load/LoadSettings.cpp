#include "LoadSettings.h"

#include <getopt.h>

#include <array>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <sstream>

namespace bergamotweir::load {

namespace {

constexpr const char *Help = R"(load --targets IP:PORT,... [flags]: load generator, for tests only; prints JSON

  --keyed-service NAME     GET and POST with a Routing-Key
  --unkeyed-service NAME   GET
  --rate N                 arrivals a second, Poisson, open loop (200)
  --concurrency N          closed loop with N at once, in place of --rate
  --duration-ms N          (2000)
  --warm-up-ms N           first part that isn't measured (0)
  --timeout-ms N           Request-Timeout (1000)
  --keyed-share X          share of keyed requests when both services are given (0.5)
  --post-share X           share of keyed requests that are POST (0.5)
  --idempotency-share X    share of POST with an Idempotency-Key (0.5)
  --resend-share X         share of those that are sent a second time elsewhere (0)
  --keys N                 (1000)
  --key-groups N           (16)
  --connections N          to each target (128)
  --ledgers FILE,...       compares with the upstreams' ledgers; exit code 1 if anything was lost, doubled or untrue
  --settle-ms N            wait before that (200)
  --outcomes FILE          one JSON line per request
  --seed N                 (1)

Example: load --targets 127.0.0.1:7001,127.0.0.1:7011 --keyed-service enrolments --rate 500 --ledgers u1.ledger
)";

constexpr double MaxValue = 1e9;

double number(const char *flag, const char *text, double maximum, Findings &findings)
{
    char *end = nullptr;
    const double value = std::strtod(text, &end);
    if (end == text || *end != '\0' || value < 0 || value > maximum) {
        findings.push_back({std::string("--") + flag, std::string("'") + text + "' is out of range", ""});
        return 0;
    }
    return value;
}

std::vector<std::string> splitList(const char *text)
{
    std::vector<std::string> list;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        if (!item.empty()) {
            list.push_back(item);
        }
    }
    return list;
}

void check(const LoadSettings &settings, Findings &findings)
{
    if (settings.targets.empty()) {
        findings.push_back({"--targets", "is missing", "--targets IP:PORT,..."});
    }
    if (settings.keyedService.empty() && settings.unkeyedService.empty()) {
        findings.push_back({"command line", "names no service", "--keyed-service or --unkeyed-service"});
    }
    if (settings.rate <= 0 && settings.concurrency == 0) {
        findings.push_back({"--rate", "is 0", "a rate above 0, or --concurrency"});
    }
    if (settings.keys == 0 || settings.keyGroups == 0) {
        findings.push_back({"--keys", "or --key-groups is 0", "1 or more"});
    }
}

} // namespace

Result<LoadSettings> parseSettings(int argc, char **argv)
{
    using std::chrono::milliseconds;
    LoadSettings settings;
    Findings findings;
    const char *flag = "";
    const auto read = [&](const char *text, double maximum = MaxValue) {
        return number(flag, text, maximum, findings);
    };
    const auto readMilliseconds = [&](const char *text) {
        return milliseconds(static_cast<std::int64_t>(read(text)));
    };
    const auto readCount = [&](const char *text) {
        return static_cast<unsigned>(read(text));
    };
    using FlagHandler = std::function<void(const char *)>;
    const std::array<std::pair<const char *, FlagHandler>, 19> handlers = {{
        {"targets",
         [&](const char *text) {
             settings.targets = splitList(text);
         }},
        {"keyed-service",
         [&](const char *text) {
             settings.keyedService = text;
         }},
        {"unkeyed-service",
         [&](const char *text) {
             settings.unkeyedService = text;
         }},
        {"rate",
         [&](const char *text) {
             settings.rate = read(text);
         }},
        {"concurrency",
         [&](const char *text) {
             settings.concurrency = readCount(text);
         }},
        {"duration-ms",
         [&](const char *text) {
             settings.duration = readMilliseconds(text);
         }},
        {"warm-up-ms",
         [&](const char *text) {
             settings.warmUp = readMilliseconds(text);
         }},
        {"timeout-ms",
         [&](const char *text) {
             settings.timeout = readMilliseconds(text);
         }},
        {"keyed-share",
         [&](const char *text) {
             settings.keyedShare = read(text, 1);
         }},
        {"post-share",
         [&](const char *text) {
             settings.postShare = read(text, 1);
         }},
        {"idempotency-share",
         [&](const char *text) {
             settings.idempotencyShare = read(text, 1);
         }},
        {"resend-share",
         [&](const char *text) {
             settings.resendShare = read(text, 1);
         }},
        {"keys",
         [&](const char *text) {
             settings.keys = readCount(text);
         }},
        {"key-groups",
         [&](const char *text) {
             settings.keyGroups = readCount(text);
         }},
        {"connections",
         [&](const char *text) {
             settings.connections = readCount(text);
         }},
        {"ledgers",
         [&](const char *text) {
             settings.ledgers = splitList(text);
         }},
        {"settle-ms",
         [&](const char *text) {
             settings.settle = readMilliseconds(text);
         }},
        {"outcomes",
         [&](const char *text) {
             settings.outcomes = text;
         }},
        {"seed",
         [&](const char *text) {
             settings.seed = static_cast<std::uint64_t>(read(text));
         }},
    }};
    std::array<option, handlers.size() + 2> options{};
    for (std::size_t i = 0; i < handlers.size(); ++i) {
        options[i] = {handlers[i].first, required_argument, nullptr, static_cast<int>(i) + 1};
    }
    options[handlers.size()] = {"help", no_argument, nullptr, 'h'};
    for (int code = 0; (code = getopt_long(argc, argv, "", options.data(), nullptr)) != -1;) {
        if (code == 'h') {
            std::cout << Help;
            std::exit(0);
        }
        if (code == '?') {
            findings.push_back({"command line", "unknown flag or missing value", "--help"});
            continue;
        }
        const auto &[name, handler] = handlers.at(static_cast<std::size_t>(code) - 1);
        flag = name;
        handler(optarg);
    }
    check(settings, findings);
    if (!findings.empty()) {
        return findings;
    }
    return settings;
}

} // namespace bergamotweir::load
