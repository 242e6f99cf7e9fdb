#include "UpstreamSettings.h"

#include <getopt.h>

#include <array>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>

namespace bergamotweir::upstream {

namespace {

constexpr const char *Help = R"(upstream --service NAME --name NAME [flags]: a stand-in upstream, for tests only

  --port N              0 lets the kernel choose (0)
  --port-file FILE      receives the port once it listens
  --agent IP:PORT       the agent's announce endpoint; none for direct calls
  --ledger FILE         one line per execution, appended
  --slots N             requests at once (12)
  --connections N       (130)
  --connection-cost-us N  upstream time per new connection (1000)
  --service-time-us N   mean time of a request (1000); 0 answers at once
  --jitter X            varying share of the service time, 0 to 1 (0.5)
  --checks-grants       refuses requests outside its grants and older epochs
  --cold-ms N           cold after the start for so long (0)
  --cold-slots N        requests it bears at once while cold (2)
  --cold-strain N       falls over after so many requests beyond its cold slots; 0 never (0)
  --rate-limit X        stated in each answer, requests per second; 0 states none (0)
  --seed N              (1)

Tests: POST /test with JSON {slow_factor, slow_ms, lie_load, load_lag_ms, cold_ms, freeze_ms, crash}.
Example: upstream --service catalogue --name u1 --agent 127.0.0.1:7003 --ledger u1.ledger --slots 12
)";

constexpr double MaxValue = 1e9;
constexpr double MaxPort = 65535;

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

} // namespace

Result<UpstreamSettings> parseSettings(int argc, char **argv)
{
    UpstreamSettings settings;
    Findings findings;
    const char *flag = "";
    const auto read = [&](const char *text, double maximum = MaxValue) {
        return number(flag, text, maximum, findings);
    };
    using FlagHandler = std::function<void(const char *)>;
    const std::array<std::pair<const char *, FlagHandler>, 17> handlers = {{
        {"service",
         [&](const char *text) {
             settings.service = text;
         }},
        {"name",
         [&](const char *text) {
             settings.name = text;
         }},
        {"port",
         [&](const char *text) {
             settings.port = static_cast<std::uint16_t>(read(text, MaxPort));
         }},
        {"port-file",
         [&](const char *text) {
             settings.portFile = text;
         }},
        {"agent",
         [&](const char *text) {
             settings.agent = text;
         }},
        {"ledger",
         [&](const char *text) {
             settings.ledger = text;
         }},
        {"slots",
         [&](const char *text) {
             settings.slots = static_cast<unsigned>(read(text));
         }},
        {"connections",
         [&](const char *text) {
             settings.connections = static_cast<unsigned>(read(text));
         }},
        {"connection-cost-us",
         [&](const char *text) {
             settings.connectionCost = std::chrono::microseconds(std::int64_t(read(text)));
         }},
        {"service-time-us",
         [&](const char *text) {
             settings.serviceTime = std::chrono::microseconds(std::int64_t(read(text)));
         }},
        {"jitter",
         [&](const char *text) {
             settings.jitter = read(text, 1);
         }},
        {"cold-ms",
         [&](const char *text) {
             settings.coldTime = std::chrono::milliseconds(std::int64_t(read(text)));
         }},
        {"cold-slots",
         [&](const char *text) {
             settings.coldSlots = static_cast<unsigned>(read(text));
         }},
        {"cold-strain",
         [&](const char *text) {
             settings.maxColdExcess = static_cast<unsigned>(read(text));
         }},
        {"rate-limit",
         [&](const char *text) {
             settings.rateLimit = read(text);
         }},
        {"seed",
         [&](const char *text) {
             settings.seed = static_cast<std::uint64_t>(read(text));
         }},
        {"checks-grants",
         [&](const char *) {
             settings.checksGrants = true;
         }},
    }};
    std::array<option, handlers.size() + 2> options{};
    for (std::size_t i = 0; i < handlers.size(); ++i) {
        const bool isSwitch = std::string_view(handlers[i].first) == "checks-grants";
        options[i] = {handlers[i].first, isSwitch ? no_argument : required_argument, nullptr, static_cast<int>(i) + 1};
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
    if (settings.service.empty()) {
        findings.push_back({"--service", "is missing", "--service NAME"});
    }
    if (settings.name.empty()) {
        findings.push_back({"--name", "is missing", "--name NAME"});
    }
    if (!findings.empty()) {
        return findings;
    }
    return settings;
}

} // namespace bergamotweir::upstream
