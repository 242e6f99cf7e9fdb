#include "platform/Manifest.h"
#include "table/RouteTable.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <functional>
#include <vector>

using namespace bergamotweir;
using nlohmann::json;

namespace {

const char *const Manifest =
    R"({"version":"0000000a","base_version":"00000005","routes":{"columns":["name","host","prefix","kind","timeout_ms",)"
    R"("target_latency_ms","priority","traffic_split","attempts","service","allow_anonymous"],"rows":[)"
    R"(["r1","a.example","/p/","idempotent",1200,600,2,[{"service":"s1","weight":90},{"service":"s2","weight":10}],2,)"
    R"(null,true],["r2","b.example","/q/","upload",1500,800,1,null,1,"s2",false]]},"services":{"columns":["name",)"
    R"("health_path","max_connections","warmup_s","warmup_per_s","sharded","grants"],"rows":[["s1","/health",130,3.0,)"
    R"(4.6,true,"call"],["s2","/ok",130,3.0,4.6,null,null]]},"limits":{"max_header_bytes":16384,)"
    R"("max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":{"columns":["name","api_keys",)"
    R"("priority","rate_per_s","burst"],"rows":[["north",["k1","k2"],0,40,80],["south",["k3"],null,0,0]]}})";

/** @return the items of a list of columns and rows as objects, without null values */
json itemsOf(const json &list)
{
    json items = json::array();
    for (const json &row : list.at("rows")) {
        json item = json::object();
        for (std::size_t column = 0; column < row.size(); ++column) {
            if (!row[column].is_null()) {
                item[list.at("columns")[column].get<std::string>()] = row[column];
            }
        }
        items.push_back(item);
    }
    return items;
}

/** @return whether a manifest that was accepted reads back as it was sent */
bool readsBack(const json &sent, const wire::RouteTable &table)
{
    const json written = json::parse(platform::writeManifest(table));
    for (const char *list : {"routes", "services", "tenants"}) {
        if (sent.contains(list) != written.contains(list)
            || (sent.contains(list) && itemsOf(sent[list]) != itemsOf(written[list]))) {
            return false;
        }
    }
    return sent.value("limits", json()) == written.value("limits", json());
}

} // namespace

// Guards against manifests that are acknowledged though a part of them could not be read.
TEST_CASE("platform: a manifest with any value replaced by one of another type is refused or reads back as sent")
{
    const json whole = json::parse(Manifest);
    const std::array<json, 7> replacements{5, -1, "x", true, json::array(), json::object(), json::array({"x"})};
    unsigned refused = 0;
    std::vector<json::json_pointer> places;
    const std::function<void(const json &, const json::json_pointer &)> collect = [&](const json &value,
                                                                                      const json::json_pointer &place) {
        for (const auto &[name, part] : value.items()) {
            const json::json_pointer inner =
                value.is_array() ? place / static_cast<std::size_t>(std::stoul(name)) : place / name;
            places.push_back(inner);
            if (part.is_structured()) {
                collect(part, inner);
            }
        }
    };
    collect(whole, json::json_pointer());
    for (const json::json_pointer &place : places) {
        for (const json &replacement : replacements) {
            json sent = whole;
            sent[place] = replacement;
            const auto read = platform::readManifest(sent.dump(), false);
            if (!read || !table::validateRoutes(read.value().table()).empty()) {
                ++refused;
                continue;
            }
            INFO(place.to_string() << " = " << replacement.dump());
            CHECK(readsBack(sent, read.value().table()));
        }
    }
    CHECK(refused > 4 * places.size());
}
