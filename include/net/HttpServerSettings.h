#pragma once

#include "base/Result.h"
#include "loop/WatchPriority.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace bergamotweir::net {

/** Address and bounds of one HttpServer or PipelineServer; created by HttpServerSettingsBuilder. */
struct HttpServerSettings {
    /** IPv4 address to bind to. */
    std::string address = "127.0.0.1";
    /** 0 lets the kernel choose a free port. */
    std::uint16_t port = 0;
    /** Maximum size of request line and header fields together; a larger header is answered with 431. */
    std::size_t maxHeaderBytes = 8UL * 1024;
    /** Maximum size of a request's body; a larger one is answered with 413. */
    std::size_t maxBodyBytes = 1024UL * 1024;
    /**
     * A body that is too large is read up to this size and discarded. Otherwise a caller that is still sending would
     * get a connection reset in place of the 413.
     */
    std::size_t maxDiscardedBytes = 64UL * 1024 * 1024;
    /** Maximum number of open connections; further ones wait in the kernel's backlog. */
    unsigned maxConnections = 4096;
    /** A connection on which no byte was transferred for this long, and no answer is outstanding, is closed. */
    std::chrono::seconds idleTimeout{60};
    /** Order in which the loop serves an HttpServer; a PipelineServer is always served in normal order. */
    loop::WatchPriority priority = loop::WatchPriority::Normal;
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
    HttpServerSettingsBuilder &priority(loop::WatchPriority value);

    /** @return the settings, or a finding for each invalid one */
    Result<HttpServerSettings> build() const;

private:
    HttpServerSettings settings;
};

} // namespace bergamotweir::net
