#pragma once

#include "net/HttpClient.h"
#include "process/Announcement.h"

#include <functional>
#include <string>

namespace bergamotweir::process {

struct AgentState;

/** What the health check of an upstream's address shows about the process that listens there. */
struct InstanceAnswer {
    /** Instance that answered; empty if none was stated in time. */
    std::string instance;
    /** Whether it states that it is healthy, so that it is not leaving. */
    bool isHealthy = false;
};

/**
 * Asks which instance listens at an upstream's address. Owned by AgentProcess; used on the loop's thread.
 */
class InstanceCheck
{
public:
    InstanceCheck(loop::EventLoop &loop, AgentState &state);

    /**
     * Sends a health check on a new connection.
     * @param upstream names address and service
     * @param done called once, unless this object is destroyed before
     */
    void ask(const Announcement &upstream, std::function<void(const InstanceAnswer &)> done);

private:
    AgentState &state;
    net::HttpClient client;
};

} // namespace bergamotweir::process
