#pragma once

#include "Grants.h"
#include "Ledger.h"
#include "Load.h"
#include "UpstreamSettings.h"

#include "loop/EventLoop.h"
#include "net/HttpServer.h"

#include <pcg_random.hpp>

#include <deque>
#include <unordered_map>
#include <unordered_set>

namespace bergamotweir::upstream {

/**
 * The stand-in upstream: executes requests in slots for a simulated service time. Its settings and POST /test choose
 * whether it follows its agent's orders and which faults it shows. Owned by main.
 */
class StandIn
{
public:
    StandIn(loop::EventLoop &loop, UpstreamSettings settings, std::unique_ptr<Ledger> ledger);

    /** Handles a request to the upstream's port. */
    void onRequest(const std::shared_ptr<net::Exchange> &exchange);

    /** Refuses new requests until the next accepted grant. */
    void drain();

    /** @return number of executions in progress */
    std::size_t running() const;

private:
    /** One execution in progress. */
    struct Execution {
        std::shared_ptr<net::Exchange> exchange;
        std::uint64_t run = 0;
        loop::TimerId timer = 0;
        /** The deadline is before the end of the service time. */
        bool exceedsDeadline = false;
    };

    void onOrder(const std::shared_ptr<net::Exchange> &exchange, const std::string &target);
    void onGrants(net::Exchange &exchange);
    void onRevoke(net::Exchange &exchange);
    void onCancel(net::Exchange &exchange);
    void onTest(net::Exchange &exchange);
    void execute(const std::shared_ptr<net::Exchange> &exchange);
    const char *refusal(const net::HttpRequest &request, int &status) const;
    std::chrono::nanoseconds serviceTime(const net::HttpRequest &request);
    void finish(std::uint64_t run);
    net::HttpAnswer answerFor(const net::HttpRequest &request, std::uint64_t run) const;
    bool isCold() const;
    void recordLoad();

    loop::EventLoop &loop;
    UpstreamSettings settings;
    std::unique_ptr<Ledger> ledger;
    pcg32 random;
    Grants grants;
    Load load;
    bool isDraining = false;
    double slowFactor = 1;
    BootTime slowUntil;
    BootTime coldUntil;
    unsigned coldExcess = 0;
    std::unordered_map<std::uint64_t, Execution> executions;
    std::unordered_map<std::string, std::uint64_t> runOfRequest;
    std::unordered_set<std::string> cancelled;
    std::deque<std::string> cancelledOldestFirst;
    std::unordered_set<std::string> peers;
};

} // namespace bergamotweir::upstream
