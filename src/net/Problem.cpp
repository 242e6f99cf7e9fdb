#include "net/Problem.h"

#include <nlohmann/json.hpp>

namespace bergamotweir::net {

static const char *toText(RequestRan ran)
{
    switch (ran) {
    case RequestRan::No:
        return "no";
    case RequestRan::Yes:
        return "yes";
    case RequestRan::Unknown:
        break;
    }
    return "unknown";
}

HttpAnswer problem(int status, std::string_view title, std::string_view detail, RequestRan ran)
{
    const nlohmann::json body = {{"status", status}, {"title", title}, {"detail", detail}};
    HttpAnswer answer;
    answer.status = status;
    answer.headers = {{"Content-Type", "application/problem+json"}, {"Request-Ran", toText(ran)}};
    answer.body = body.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    return answer;
}

} // namespace bergamotweir::net
