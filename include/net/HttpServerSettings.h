#pragma once

#include "base/Result.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace bergamotweir::net {

/** What bounds one HttpServer; made by HttpServerSettingsBuilder. */
struct HttpServerSettings {
    /** IPv4 number to bind to. */
    std::string address = "127.0.0.1";
    /** 0 lets the kernel choose. */
    std::uint16_t port = 0;
    /** Bytes of request line and header fields together; more is answered with 431. */
    std::size_t maxHeaderBytes = 8UL * 1024;
    /** Bytes of a request's body; more is answered with 413. */
    std::size_t maxBodyBytes = 1024UL * 1024;
    /** A too large body is read up to here and thrown away: a caller still sending would get a reset, not the 413. */
    std::size_t maxDiscardedBytes = 64UL * 1024 * 1024;
    /** Open connections; further ones wait in the kernel's backlog. */
    unsigned maxConnections = 4096;
    /** A connection without a byte for this long, while no answer is outstanding, is closed. */
    std::chrono::seconds idleTimeout{60};
};

/** Collects and checks the settings of an HttpServer. */
class HttpServerSettingsBuilder
{
public:
    HttpServerSettingsBuilder &address(std::string value);
    HttpServerSettingsBuilder &port(std::uint16_t value);
    HttpServerSettingsBuilder &maxHeaderBytes(std::size_t value);
    HttpServerSettingsBuilder &maxBodyBytes(std::size_t value);
    HttpServerSettingsBuilder &maxDiscardedBytes(std::size_t value);
    HttpServerSettingsBuilder &maxConnections(unsigned value);
    HttpServerSettingsBuilder &idleTimeout(std::chrono::seconds value);

    /** @return the settings, or everything that is wrong with them */
    Result<HttpServerSettings> build() const;

private:
    HttpServerSettings settings;
};

} // namespace bergamotweir::net
