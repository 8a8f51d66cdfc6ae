#include "cumin_config/route_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cumin {

namespace {

constexpr std::size_t kMaxRoutes = 20000;

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

Error Invalid(const std::string& source, const std::string& field,
              const std::string& reason) {
  return Error{ErrorCode::kInvalid, source, 0, field, reason};
}

/** @returns the invalid field and the reason, or two empty strings */
std::pair<std::string, std::string> FindInvalidField(
    const Route& route, const std::set<ServiceId>& known) {
  if (route.host.empty()) {
    return {"host", "must not be empty"};
  }
  if (route.prefix.empty() || route.prefix.front() != '/' ||
      route.prefix.back() != '/') {
    return {"prefix", "must begin and end with '/'"};
  }
  if (route.attempts < 1) {
    return {"attempts", "must be at least 1"};
  }
  if (route.timeout <= Duration::zero()) {
    return {"timeout", "must be above 0"};
  }
  if (route.target_latency < Duration::zero()) {
    return {"target latency", "must not be negative"};
  }
  if (route.priority < 0) {
    return {"priority", "must not be negative"};
  }
  std::int64_t sum = 0;
  for (const WeightedService& it : route.services) {
    if (it.weight < 0) {
      return {"weight", "must not be negative"};
    }
    if (known.count(it.service) == 0) {
      return {"service", "unknown service '" + it.service.str() + "'"};
    }
    sum += it.weight;
  }
  if (sum <= 0) {
    return {"service", "must name a service with a weight above 0"};
  }
  return {};
}

}  // namespace

const char* ToString(RouteKind kind) {
  switch (kind) {
    case RouteKind::kIdempotent:
      return "idempotent";
    case RouteKind::kAtMostOnce:
      return "at-most-once";
    case RouteKind::kDownload:
      return "download";
    case RouteKind::kUpload:
      return "upload";
  }
  return "unknown";
}

std::ostream& operator<<(std::ostream& out, RouteKind kind) {
  return out << ToString(kind);
}

Result<RefPtr<const RouteTable>> RouteTable::Make(RouteDocument document,
                                                  const std::string& source) {
  if (document.version == 0) {
    return Invalid(source, "version", "must be above 0");
  }
  if (document.routes.size() > kMaxRoutes) {
    return Invalid(source, "routes", "exceeds the maximum number of routes");
  }
  const Result<void> customers = CheckCustomers(document.customers, source);
  if (!customers) {
    return customers.error();
  }
  const std::set<ServiceId> known(document.services.begin(),
                                  document.services.end());
  std::set<std::pair<std::string, std::string>> host_prefixes;
  for (const Route& it : document.routes) {
    const auto [field, reason] = FindInvalidField(it, known);
    if (!field.empty()) {
      return Invalid(source, "route '" + it.name + "': " + field, reason);
    }
    if (!host_prefixes.emplace(it.host, it.prefix).second) {
      return Invalid(source, "route '" + it.name + "': prefix",
                     "another route has this host and prefix");
    }
  }
  return RefPtr<const RouteTable>(new RouteTable(std::move(document)));
}

RouteTable::RouteTable(RouteDocument document)
    : document_(std::move(document)) {
  for (std::uint32_t i = 0; i < document_.customers.size(); ++i) {
    for (const KeyDigest& it : document_.customers[i].keys) {
      by_key_.emplace(it.digits(), i);
    }
  }
  for (std::uint32_t i = 0; i < document_.routes.size(); ++i) {
    by_host_[document_.routes[i].host].push_back(i);
  }
  for (auto& [host, indices] : by_host_) {
    std::sort(indices.begin(), indices.end(),
              [this](std::uint32_t a, std::uint32_t b) {
                return document_.routes[a].prefix.size() >
                       document_.routes[b].prefix.size();
              });
  }
}

const Customer* RouteTable::FindCustomer(const KeyDigest& key) const {
  const auto found = by_key_.find(key.digits());
  return found == by_key_.end() ? nullptr : &document_.customers[found->second];
}

const Customer* RouteTable::FindCustomer(const CustomerId& name) const {
  const auto found =
      std::find_if(document_.customers.begin(), document_.customers.end(),
                   [&](const Customer& it) { return it.name == name; });
  return found == document_.customers.end() ? nullptr : &*found;
}

const Route* RouteTable::Find(const std::string& host,
                              const std::string& path) const {
  const auto found = by_host_.find(host);
  if (found == by_host_.end()) {
    return nullptr;
  }
  for (const std::uint32_t it : found->second) {
    const Route& route = document_.routes[it];
    if (StartsWith(path, route.prefix)) {
      return &route;
    }
  }
  return nullptr;
}

const ServiceId& RouteTable::DrawService(const Route& route, double unit) {
  double sum = 0;
  for (const WeightedService& it : route.services) {
    sum += it.weight;
  }
  double left = unit * sum;
  for (const WeightedService& it : route.services) {
    left -= it.weight;
    if (left < 0) {
      return it.service;
    }
  }
  return route.services.back().service;
}

}  // namespace cumin
