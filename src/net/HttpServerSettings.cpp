#include "net/HttpServerSettings.h"

#include <arpa/inet.h>

namespace bergamotweir::net {

namespace {

constexpr std::size_t MinHeaderBytes = 1024;
constexpr std::size_t MaxHeaderBytes = 1024UL * 1024;
constexpr std::size_t MaxBodyBytes = 64UL * 1024 * 1024;

} // namespace

HttpServerSettingsBuilder &HttpServerSettingsBuilder::address(std::string value)
{
    this->settings.address = std::move(value);
    return *this;
}

HttpServerSettingsBuilder &HttpServerSettingsBuilder::port(std::uint16_t value)
{
    this->settings.port = value;
    return *this;
}

HttpServerSettingsBuilder &HttpServerSettingsBuilder::maxHeaderBytes(std::size_t value)
{
    this->settings.maxHeaderBytes = value;
    return *this;
}

HttpServerSettingsBuilder &HttpServerSettingsBuilder::maxBodyBytes(std::size_t value)
{
    this->settings.maxBodyBytes = value;
    return *this;
}

HttpServerSettingsBuilder &HttpServerSettingsBuilder::maxDiscardedBytes(std::size_t value)
{
    this->settings.maxDiscardedBytes = value;
    return *this;
}

HttpServerSettingsBuilder &HttpServerSettingsBuilder::maxConnections(unsigned value)
{
    this->settings.maxConnections = value;
    return *this;
}

HttpServerSettingsBuilder &HttpServerSettingsBuilder::idleTimeout(std::chrono::seconds value)
{
    this->settings.idleTimeout = value;
    return *this;
}

HttpServerSettingsBuilder &HttpServerSettingsBuilder::priority(loop::WatchPriority value)
{
    this->settings.priority = value;
    return *this;
}

Result<HttpServerSettings> HttpServerSettingsBuilder::build() const
{
    Findings findings;
    in_addr address{};
    if (inet_pton(AF_INET, this->settings.address.c_str(), &address) != 1) {
        findings.push_back({"address", "'" + this->settings.address + "' is no IPv4 number", "one like 127.0.0.1"});
    }
    if (this->settings.maxHeaderBytes < MinHeaderBytes || this->settings.maxHeaderBytes > MaxHeaderBytes) {
        findings.push_back({"max header bytes", "out of range", "1024 to 1048576"});
    }
    if (this->settings.maxBodyBytes > MaxBodyBytes) {
        findings.push_back({"max body bytes", "out of range", "at most 67108864"});
    }
    if (this->settings.maxConnections == 0) {
        findings.push_back({"max connections", "is 0", "1 or more"});
    }
    if (this->settings.idleTimeout < std::chrono::seconds(1)) {
        findings.push_back({"idle timeout", "is under a second", "1 s or more"});
    }
    if (!findings.empty()) {
        return findings;
    }
    return this->settings;
}

} // namespace bergamotweir::net
