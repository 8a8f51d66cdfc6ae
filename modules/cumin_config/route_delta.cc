#include "cumin_config/route_delta.h"

#include <map>
#include <set>
#include <utility>

#include "cumin_core/json_object.h"
#include "cumin_core/json_text.h"

namespace cumin {

namespace {

constexpr std::size_t kMaxRoutes = 20000;
constexpr std::size_t kMaxServices = 4096;
constexpr std::size_t kMaxNameBytes = 1024;
constexpr int kRouteKindCount = 3;

std::map<std::string, const Route*> ByName(const RouteTable& table) {
  std::map<std::string, const Route*> routes;
  for (const Route& it : table.routes()) {
    routes.emplace(it.name, &it);
  }
  return routes;
}

Json::Value ToJson(const Route& route) {
  Json::Value value;
  value["n"] = route.name;
  value["h"] = route.host;
  value["p"] = route.prefix;
  value["k"] = static_cast<int>(route.kind);
  value["a"] = route.attempts;
  value["t"] = Json::Int64{route.timeout.count()};
  value["l"] = Json::Int64{route.target_latency.count()};
  value["r"] = route.priority;
  for (const WeightedService& it : route.services) {
    Json::Value part;
    part["s"] = it.service.str();
    part["w"] = it.weight;
    value["s"].append(part);
  }
  return value;
}

Route ReadRoute(JsonObject& fields) {
  Route route;
  route.name = fields.String("n", kMaxNameBytes);
  route.host = fields.String("h", kMaxNameBytes);
  route.prefix = fields.String("p", kMaxNameBytes);
  const std::uint64_t kind = fields.Unsigned("k");
  if (kind >= kRouteKindCount) {
    fields.Fail("k", "must be below " + std::to_string(kRouteKindCount));
  } else {
    route.kind = static_cast<RouteKind>(kind);
  }
  route.attempts = static_cast<int>(fields.Int("a"));
  route.timeout = Duration(fields.Int("t"));
  route.target_latency = Duration(fields.Int("l"));
  route.priority = static_cast<int>(fields.Int("r"));
  for (JsonObject& it : fields.Objects("s", kMaxServices)) {
    route.services.push_back(WeightedService{it.Name<ServiceId>("s"),
                                             static_cast<int>(it.Int("w"))});
  }
  return route;
}

}  // namespace

RouteDelta MakeRouteDelta(const RouteTable* from, const RouteTable& to) {
  RouteDelta delta;
  delta.to = to.version();
  delta.services = to.services();
  delta.limits = to.limits();
  if (from == nullptr) {
    delta.changed = to.routes();
    return delta;
  }
  delta.from = from->version();
  std::map<std::string, const Route*> before = ByName(*from);
  for (const Route& it : to.routes()) {
    const auto known = before.find(it.name);
    if (known == before.end() || !(*known->second == it)) {
      delta.changed.push_back(it);
    }
    if (known != before.end()) {
      before.erase(known);
    }
  }
  for (const auto& [name, route] : before) {
    delta.removed.push_back(name);
  }
  return delta;
}

Result<RefPtr<const RouteTable>> ApplyRouteDelta(const RouteTable* base,
                                                 const RouteDelta& delta) {
  RouteDocument document;
  document.version = delta.to;
  document.services = delta.services;
  document.limits = delta.limits;
  if (delta.from != 0) {
    if (base == nullptr || base->version() != delta.from) {
      return Error{
          ErrorCode::kConflict, "", 0, "from",
          "the delta starts from version " + std::to_string(delta.from)};
    }
    std::set<std::string> replaced(delta.removed.begin(), delta.removed.end());
    for (const Route& it : delta.changed) {
      replaced.insert(it.name);
    }
    for (const Route& it : base->routes()) {
      if (replaced.count(it.name) == 0) {
        document.routes.push_back(it);
      }
    }
  }
  document.routes.insert(document.routes.end(), delta.changed.begin(),
                         delta.changed.end());
  return RouteTable::Make(std::move(document), "peer");
}

std::string EncodeRouteDelta(const RouteDelta& delta) {
  Json::Value value;
  value["from"] = Json::UInt64{delta.from};
  value["to"] = Json::UInt64{delta.to};
  value["changed"] = Json::Value(Json::arrayValue);
  for (const Route& it : delta.changed) {
    value["changed"].append(ToJson(it));
  }
  value["removed"] = Json::Value(Json::arrayValue);
  for (const std::string& it : delta.removed) {
    value["removed"].append(it);
  }
  value["services"] = Json::Value(Json::arrayValue);
  for (const ServiceId& it : delta.services) {
    value["services"].append(it.str());
  }
  Json::Value limits;
  limits["header_bytes"] = Json::UInt64{delta.limits.max_header_bytes};
  limits["body_bytes"] = Json::UInt64{delta.limits.max_body_bytes};
  limits["header_us"] = Json::Int64{delta.limits.header_timeout.count()};
  limits["idle_us"] = Json::Int64{delta.limits.idle_timeout.count()};
  value["limits"] = limits;
  return ToJsonText(value);
}

Result<RouteDelta> DecodeRouteDelta(const std::string& text,
                                    const std::string& source) {
  const Result<Json::Value> value = ParseJson(text, source);
  if (!value) {
    return value.error();
  }
  JsonObject fields(value.value(), source);
  RouteDelta delta;
  delta.from = fields.Unsigned("from");
  delta.to = fields.Unsigned("to");
  for (JsonObject& it : fields.Objects("changed", kMaxRoutes)) {
    delta.changed.push_back(ReadRoute(it));
  }
  delta.removed = fields.Strings("removed", kMaxRoutes, kMaxNameBytes);
  for (std::string& it : fields.Strings("services", kMaxServices)) {
    delta.services.emplace_back(std::move(it));
  }
  JsonObject limits = fields.Object("limits");
  delta.limits.max_header_bytes = limits.Unsigned("header_bytes");
  delta.limits.max_body_bytes = limits.Unsigned("body_bytes");
  delta.limits.header_timeout = Duration(limits.Int("header_us"));
  delta.limits.idle_timeout = Duration(limits.Int("idle_us"));
  const Result<void> checked = fields.Finish();
  if (!checked) {
    return checked.error();
  }
  return delta;
}

}  // namespace cumin
