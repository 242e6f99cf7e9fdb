#include "process/HealthCall.h"

#include "process/AgentProtocol.h"
#include "process/AgentState.h"

namespace bergamotweir::process {

net::HttpCall healthCallTo(const AgentState &state,
                           const std::string &service,
                           const std::string &address,
                           std::chrono::milliseconds timeout)
{
    const table::RoutedService *const routed = state.table.routes().service(service);
    return state.protocol->healthCall(address, routed == nullptr ? "/health" : routed->healthPath, timeout);
}

} // namespace bergamotweir::process
