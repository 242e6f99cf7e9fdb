#include "control/AgentBook.h"

namespace bergamotweir::control {

AgentRecord &AgentBook::get(const std::string &name)
{
    AgentRecord &agent = this->agents[name];
    agent.name = name;
    return agent;
}

AgentRecord *AgentBook::find(const std::string &name)
{
    const auto found = this->agents.find(name);
    return found == this->agents.end() ? nullptr : &found->second;
}

const AgentRecord *AgentBook::find(const std::string &name) const
{
    const auto found = this->agents.find(name);
    return found == this->agents.end() ? nullptr : &found->second;
}

AgentRecord *AgentBook::bySession(SessionId session)
{
    const auto found = this->sessions.find(session);
    return found == this->sessions.end() ? nullptr : this->find(found->second);
}

void AgentBook::bind(AgentRecord &agent, SessionId session)
{
    this->sessions.erase(agent.session);
    agent.session = session;
    agent.informed = false;
    agent.announced.clear();
    this->sessions[session] = agent.name;
}

AgentRecord *AgentBook::unbind(SessionId session)
{
    AgentRecord *agent = this->bySession(session);
    if (agent != nullptr) {
        this->sessions.erase(session);
        agent->session = 0;
        agent->informed = false;
        agent->announced.clear();
    }
    return agent;
}

void AgentBook::clear()
{
    this->agents.clear();
    this->sessions.clear();
}

} // namespace bergamotweir::control
