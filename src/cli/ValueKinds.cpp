#include "cli/ValueKinds.h"

#include "ReplicaList.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

namespace bergamotweir::cli {

namespace {

constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t MaxTextLength = 1024;
constexpr std::uint64_t MaxPort = 65535;
constexpr std::uint64_t MaxSeconds = 3600;

bool isName(std::string_view value)
{
    constexpr std::string_view Allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !value.empty() && value.size() <= MaxNameLength
           && value.find_first_not_of(Allowed) == std::string_view::npos;
}

bool isText(std::string_view value)
{
    const auto isPrintable = [](char character) {
        return static_cast<unsigned char>(character) >= ' ';
    };
    return !value.empty() && value.size() <= MaxTextLength && std::ranges::all_of(value, isPrintable);
}

bool isIpAddress(std::string_view value)
{
    std::array<unsigned char, sizeof(in6_addr)> bytes{};
    const std::string text(value);
    return inet_pton(AF_INET, text.c_str(), bytes.data()) == 1;
}

bool isPort(std::string_view value)
{
    const std::optional<std::uint64_t> port = toNumber(value);
    return port.has_value() && *port <= MaxPort;
}

bool isEndpoint(std::string_view value)
{
    const std::size_t colon = value.rfind(':');
    return colon != std::string_view::npos && isIpAddress(value.substr(0, colon)) && isPort(value.substr(colon + 1))
           && toNumber(value.substr(colon + 1)) != 0U;
}

bool areEndpoints(std::string_view value)
{
    for (std::size_t start = 0; start <= value.size();) {
        const std::size_t end = std::min(value.find(',', start), value.size());
        if (!isEndpoint(value.substr(start, end - start))) {
            return false;
        }
        start = end + 1;
    }
    return true;
}

bool isReplicaAddress(std::string_view value)
{
    return readReplica("any=" + std::string(value)).has_value();
}

bool areReplicas(std::string_view value)
{
    return readReplicas(value).has_value();
}

bool isNumber(std::string_view value)
{
    return toNumber(value).has_value();
}

bool isSeconds(std::string_view value)
{
    const std::optional<std::uint64_t> seconds = toNumber(value);
    return seconds.has_value() && *seconds <= MaxSeconds;
}

bool isBase(std::string_view value)
{
    return value == "current" || isNumber(value);
}

bool isLogLevel(std::string_view value)
{
    return value == "debug" || value == "info" || value == "warn" || value == "error";
}

bool isMarkKind(std::string_view value)
{
    return value == "failure-domain" || value == "upstream";
}

} // namespace

std::optional<std::uint64_t> toNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

const ValueKind NameKind{"NAME", "a name of at most 64 letters, digits, '.', '_' and '-'", "bne-a", isName};
const ValueKind TextKind{"TEXT", "a printable text of at most 1024 characters", "\"some text\"", isText};
const ValueKind IpAddressKind{"IP", "an IPv4 address", "127.0.0.1", isIpAddress};
const ValueKind PortKind{"PORT", "a port from 0 (any free one) to 65535", "8080", isPort};
const ValueKind EndpointKind{"IP:PORT", "an IPv4 address and a port", "127.0.0.1:7000", isEndpoint};
const ValueKind EndpointsKind{"IP:PORT,...",
                              "a list of IPv4 addresses with ports, joined by commas",
                              "127.0.0.1:7001,127.0.0.1:7002,127.0.0.1:7003",
                              areEndpoints};
const ValueKind ReplicaAddressKind{"IP:RAFTPORT/CONTROLPORT",
                                   "an IPv4 address with a raft port and a control port",
                                   "127.0.0.1:7101/7001",
                                   isReplicaAddress};
const ValueKind ReplicasKind{"ID=IP:RAFTPORT/CONTROLPORT,...",
                             "a list of replicas with different ids and addresses, joined by commas",
                             "c1=127.0.0.1:7101/7001,c2=127.0.0.1:7102/7002,c3=127.0.0.1:7103/7003",
                             areReplicas};
const ValueKind PathKind{"PATH", "a path of at most 1024 characters", "table.csv", isText};
const ValueKind NumberKind{"NUMBER", "a whole number", "1", isNumber};
const ValueKind SecondsKind{"SECONDS", "a whole number of seconds up to 3600", "10", isSeconds};
const ValueKind BaseKind{"VERSION", "a table version or the word current", "current", isBase};
const ValueKind LogLevelKind{"LEVEL", "debug, info, warn or error", "info", isLogLevel};
const ValueKind MarkKindKind{"KIND", "failure-domain or upstream", "failure-domain", isMarkKind};

} // namespace bergamotweir::cli
