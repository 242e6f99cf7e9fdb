#include "UpstreamCondition.h"

#include "cli/Context.h"

#include <nlohmann/json.hpp>

namespace bergamotweir::cli {

namespace {

/** Maximum number of agents polled for a status, which must not wait long; with more agents no conditions are shown. */
constexpr std::size_t MaxAgentsPolled = 24;
/** Limits the delay that unreachable agents add to a status. */
constexpr std::chrono::milliseconds HealthTimeout{300};

void addConditions(const std::string &document, std::map<UpstreamName, std::string> &conditions)
{
    const nlohmann::json health = nlohmann::json::parse(document, nullptr, false);
    if (!health.is_object() || !health.contains("upstreams") || !health["upstreams"].is_array()) {
        return;
    }
    const auto textOf = [](const nlohmann::json &object, const char *name) {
        const bool isText = object.is_object() && object.contains(name) && object[name].is_string();
        return isText ? object[name].get<std::string>() : std::string();
    };
    const bool isStopping = health.contains("stopping") && health["stopping"] == true;
    for (const nlohmann::json &upstream : health["upstreams"]) {
        conditions[{textOf(upstream, "service"), textOf(upstream, "name")}] =
            isStopping ? "draining" : textOf(upstream, "condition");
    }
}

} // namespace

std::map<UpstreamName, std::string> fetchConditions(const wire::StatusReport &report, Context &context)
{
    std::map<std::string, std::string> addresses;
    for (const wire::UpstreamStatus &upstream : report.upstreams()) {
        if (upstream.lease_valid() && !upstream.upstream().operator_address().empty()) {
            addresses[upstream.upstream().agent()] = upstream.upstream().operator_address();
        }
    }
    std::map<UpstreamName, std::string> conditions;
    if (addresses.size() > MaxAgentsPolled) {
        return conditions;
    }
    std::vector<std::string> urls;
    urls.reserve(addresses.size());
    for (const auto &[agent, address] : addresses) {
        urls.push_back("http://" + address + "/healthz");
    }
    for (const Result<std::string> &document : context.fetchAll(urls, HealthTimeout)) {
        if (document) {
            addConditions(document.value(), conditions);
        }
    }
    return conditions;
}

} // namespace bergamotweir::cli
