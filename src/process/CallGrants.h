#pragma once

#include "agent/GrantOrders.h"
#include "loop/EventLoop.h"
#include "net/HttpClient.h"
#include "process/Announcement.h"
#include "process/OrderAnswer.h"

#include <functional>
#include <memory>

namespace bergamotweir::process {

struct AgentState;

/** Callbacks of a CallGrants. */
struct CallGrantsEvents {
    /** The held keys changed: waiting requests may proceed, revoked slices may be releasable. */
    std::function<void()> changed;
};

/**
 * Grants, renews and releases the keys of one upstream by HTTP calls, as agent::takeDueOrders() decides.
 * Owned by the LocalUpstream, whose HTTP client it uses; used on the loop's thread.
 */
class CallGrants
{
public:
    CallGrants(loop::EventLoop &loop, AgentState &state, net::HttpClient &client, CallGrantsEvents events);
    ~CallGrants();
    CallGrants(const CallGrants &) = delete;
    CallGrants &operator=(const CallGrants &) = delete;

    /**
     * Sends the orders that are due; to be called whenever owners, lease or upstream changed.
     * @param upstream destination of the orders, and its service
     * @param id the upstream's id in the map; 0 before control has assigned one
     * @param serving whether it accepts new keys
     */
    void update(const Announcement &upstream, std::uint32_t id, bool serving);

    /** Records that the upstream refused a key that it was recorded to hold. */
    void recordKeyNotHeld(std::uint64_t hash);

    /** Forgets all grants; to be called once the upstream's process is known to have ended. */
    void processEnded();

private:
    void sendDueOrders();
    void send(const agent::GrantOrder &order);
    void handleOrderAnswer(const agent::GrantOrder &order, const OrderAnswer &answer);
    void recordHandover(const agent::GrantOrder &order, const std::string &handover);
    bool publish();
    std::vector<agent::WantedKeys> wanted() const;
    std::vector<agent::HeldRange> unwanted();

    loop::EventLoop &loop;
    AgentState &state;
    net::HttpClient &client;
    CallGrantsEvents events;
    agent::GrantOrders orders;
    Announcement upstream;
    std::uint32_t id = 0;
    bool serving = false;
    loop::TimerId timer = 0;
    std::shared_ptr<bool> alive;
};

} // namespace bergamotweir::process
