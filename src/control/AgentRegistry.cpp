#include "control/AgentRegistry.h"

namespace bergamotweir::control {

AgentRecord &AgentRegistry::getOrCreate(const std::string &name)
{
    AgentRecord &agent = this->agents[name];
    agent.name = name;
    return agent;
}

AgentRecord *AgentRegistry::find(const std::string &name)
{
    const auto found = this->agents.find(name);
    return found == this->agents.end() ? nullptr : &found->second;
}

const AgentRecord *AgentRegistry::find(const std::string &name) const
{
    const auto found = this->agents.find(name);
    return found == this->agents.end() ? nullptr : &found->second;
}

AgentRecord *AgentRegistry::findBySession(SessionId session)
{
    const auto found = this->sessions.find(session);
    return found == this->sessions.end() ? nullptr : this->find(found->second);
}

void AgentRegistry::attachSession(AgentRecord &agent, SessionId session)
{
    this->sessions.erase(agent.session);
    agent.session = session;
    agent.hasFullState = false;
    agent.announced.clear();
    this->sessions[session] = agent.name;
}

AgentRecord *AgentRegistry::detachSession(SessionId session)
{
    AgentRecord *agent = this->findBySession(session);
    if (agent != nullptr) {
        this->sessions.erase(session);
        agent->session = 0;
        agent->hasFullState = false;
        agent->announced.clear();
    }
    return agent;
}

void AgentRegistry::clear()
{
    this->agents.clear();
    this->sessions.clear();
}

} // namespace bergamotweir::control
