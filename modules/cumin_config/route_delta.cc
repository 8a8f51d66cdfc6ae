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
constexpr int kRouteKindCount = 4;
constexpr std::size_t kMaxCustomers = 20000;
constexpr std::size_t kMaxKeys = 1024;

const std::string& NameOf(const Route& route) { return route.name; }

const std::string& NameOf(const Customer& customer) {
  return customer.name.str();
}

/** Finds the entries that were added or modified, and the names of those that
    were removed. */
template <typename Entry>
void Compare(const std::vector<Entry>& from, const std::vector<Entry>& to,
             std::vector<Entry>* changed, std::vector<std::string>* removed) {
  std::map<std::string, const Entry*> before;
  for (const Entry& it : from) {
    before.emplace(NameOf(it), &it);
  }
  for (const Entry& it : to) {
    const auto known = before.find(NameOf(it));
    if (known == before.end() || !(*known->second == it)) {
      changed->push_back(it);
    }
    if (known != before.end()) {
      before.erase(known);
    }
  }
  for (const auto& [name, entry] : before) {
    removed->push_back(name);
  }
}

/** @returns the entries after a change */
template <typename Entry>
std::vector<Entry> Replace(const std::vector<Entry>& base,
                           const std::vector<Entry>& changed,
                           const std::vector<std::string>& removed) {
  std::set<std::string> replaced(removed.begin(), removed.end());
  for (const Entry& it : changed) {
    replaced.insert(NameOf(it));
  }
  std::vector<Entry> entries;
  for (const Entry& it : base) {
    if (replaced.count(NameOf(it)) == 0) {
      entries.push_back(it);
    }
  }
  entries.insert(entries.end(), changed.begin(), changed.end());
  return entries;
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
  if (route.is_public) {
    value["o"] = true;
  }
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
  route.is_public = fields.Has("o") && fields.Bool("o");
  for (JsonObject& it : fields.Objects("s", kMaxServices)) {
    route.services.push_back(WeightedService{it.Name<ServiceId>("s"),
                                             static_cast<int>(it.Int("w"))});
  }
  return route;
}

Json::Value ToJson(const Customer& customer) {
  Json::Value value;
  value["n"] = customer.name.str();
  value["p"] = customer.priority;
  value["r"] = customer.rate_per_s;
  value["b"] = customer.burst;
  value["k"] = Json::Value(Json::arrayValue);
  for (const KeyDigest& it : customer.keys) {
    value["k"].append(it.digits());
  }
  return value;
}

Customer ReadCustomer(JsonObject& fields) {
  Customer customer;
  customer.name = fields.Name<CustomerId>("n", kMaxNameBytes);
  customer.priority = static_cast<int>(fields.Int("p"));
  customer.rate_per_s = fields.Number("r");
  customer.burst = fields.Number("b");
  for (const std::string& it :
       fields.Strings("k", kMaxKeys, KeyDigest::kDigits)) {
    const Result<KeyDigest> digest = KeyDigest::Parse(it);
    if (digest) {
      customer.keys.push_back(digest.value());
    } else {
      fields.Fail("k", digest.error().reason);
    }
  }
  return customer;
}

Json::Value ToJson(const std::vector<std::string>& names) {
  Json::Value list(Json::arrayValue);
  for (const std::string& it : names) {
    list.append(it);
  }
  return list;
}

}  // namespace

RouteDelta MakeRouteDelta(const RouteTable* from, const RouteTable& to) {
  RouteDelta delta;
  delta.to = to.version();
  delta.services = to.services();
  delta.limits = to.limits();
  if (from == nullptr) {
    delta.changed = to.routes();
    delta.changed_customers = to.customers();
    return delta;
  }
  delta.from = from->version();
  Compare(from->routes(), to.routes(), &delta.changed, &delta.removed);
  Compare(from->customers(), to.customers(), &delta.changed_customers,
          &delta.removed_customers);
  return delta;
}

Result<RefPtr<const RouteTable>> ApplyRouteDelta(const RouteTable* base,
                                                 const RouteDelta& delta) {
  RouteDocument document;
  document.version = delta.to;
  document.services = delta.services;
  document.limits = delta.limits;
  if (delta.from == 0) {
    document.routes = delta.changed;
    document.customers = delta.changed_customers;
    return RouteTable::Make(std::move(document), "peer");
  }
  if (base == nullptr || base->version() != delta.from) {
    return Error{ErrorCode::kConflict, "", 0, "from",
                 "the delta starts from version " + std::to_string(delta.from)};
  }
  document.routes = Replace(base->routes(), delta.changed, delta.removed);
  document.customers = Replace(base->customers(), delta.changed_customers,
                               delta.removed_customers);
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
  value["removed"] = ToJson(delta.removed);
  // Absent in a deployment without customers.
  for (const Customer& it : delta.changed_customers) {
    value["customers"].append(ToJson(it));
  }
  if (!delta.removed_customers.empty()) {
    value["removed_customers"] = ToJson(delta.removed_customers);
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
  if (fields.Has("customers")) {
    for (JsonObject& it : fields.Objects("customers", kMaxCustomers)) {
      delta.changed_customers.push_back(ReadCustomer(it));
    }
  }
  if (fields.Has("removed_customers")) {
    delta.removed_customers =
        fields.Strings("removed_customers", kMaxCustomers, kMaxNameBytes);
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
