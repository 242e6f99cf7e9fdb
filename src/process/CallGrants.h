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
    /** The upstream holds more or less than before: waiting requests may go on, revoked slices may be free. */
    std::function<void()> changed;
};

/**
 * Grants keys to one upstream, renews them and takes them back, by calls: carries out what agent::takeDueOrders()
 * decides. Owned by the LocalUpstream, whose client it sends with; used on the loop's thread.
 */
class CallGrants
{
public:
    CallGrants(loop::EventLoop &loop, AgentState &state, net::HttpClient &client, CallGrantsEvents events);
    ~CallGrants();
    CallGrants(const CallGrants &) = delete;
    CallGrants &operator=(const CallGrants &) = delete;

    /**
     * Sends what is due; to be called whenever owners, lease or upstream changed.
     * @param upstream where the orders go, and for which service
     * @param id the upstream's in the map; 0 before control gave one
     * @param serving whether it takes new keys
     */
    void look(const Announcement &upstream, std::uint32_t id, bool serving);

    /** The upstream refused a key that it was believed to hold. */
    void recordKeyNotHeld(std::uint64_t hash);

    /** The upstream's process has surely ended. */
    void processEnded();

private:
    void lookAgain();
    void send(const agent::GrantOrder &order);
    void ended(const agent::GrantOrder &order, const OrderAnswer &answer);
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
