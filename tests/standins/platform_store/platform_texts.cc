#include "standins/platform_store/platform_texts.h"

#include <json/value.h>

#include <set>
#include <sstream>

#include "cumin_core/json_text.h"

namespace cumin::test {

namespace {

Json::Value MakeResource(const char* type, const std::string& name,
                         Json::Value spec) {
  Json::Value resource;
  resource["type"] = type;
  resource["metadata"] = Json::Value(Json::objectValue);
  if (!name.empty()) {
    resource["metadata"]["name"] = name;
  }
  resource["spec"] = std::move(spec);
  return resource;
}

Json::Value MakeRouteSpec(const RouteText& route) {
  Json::Value spec;
  spec["host"] = kRouteHost;
  spec["prefix"] = route.prefix;
  spec["kind"] = route.kind;
  spec["timeout-s"] = 5;
  spec["target-latency-s"] = 1;
  spec["priority"] = 1;
  spec["attempts"] = 2;
  spec["service"] = route.service;
  spec["public"] = route.is_public;
  return spec;
}

}  // namespace

std::string MakeConfigurationText(int version,
                                  const std::vector<RouteText>& routes,
                                  int max_body_bytes,
                                  const std::vector<CustomerText>& customers) {
  Json::Value resources(Json::arrayValue);
  std::set<std::string> services;
  for (const RouteText& it : routes) {
    resources.append(MakeResource("routes", it.name, MakeRouteSpec(it)));
    services.insert(it.service);
  }
  for (const std::string& it : services) {
    resources.append(
        MakeResource("services", it, Json::Value(Json::objectValue)));
  }
  for (const CustomerText& it : customers) {
    Json::Value spec;
    spec["api-keys"] = Json::Value(Json::arrayValue);
    for (const std::string& key : it.keys) {
      spec["api-keys"].append(key);
    }
    spec["rate-per-s"] = it.rate;
    spec["burst"] = it.rate;
    resources.append(MakeResource("tenants", it.name, spec));
  }
  Json::Value limits;
  limits["max-header-bytes"] = 16384;
  limits["max-body-bytes"] = max_body_bytes;
  limits["header-timeout-s"] = 3;
  limits["idle-timeout-s"] = 15;
  resources.append(MakeResource("limits", "", limits));
  Json::Value document;
  document["version"] = "r" + std::to_string(version);
  document["resources"] = resources;
  return ToJsonText(document);
}

std::string MakeSettingsText(const VmAddresses& addresses,
                             int announce_interval_s) {
  std::ostringstream text;
  text << "vm: " << addresses.vm << "\nregion: " << addresses.region
       << "\nfailure_domain: " << addresses.failure_domain
       << "\ncallers: " << addresses.callers << "\npeers: " << addresses.peers
       << "\nreadiness: " << addresses.readiness
       << "\nannouncements: " << addresses.announcements
       << "\ntarget: " << addresses.target << "\nservice: " << addresses.service
       << "\nstore: " << addresses.store
       << "\nannounce_interval_s: " << announce_interval_s << "\n";
  return text.str();
}

std::string AnnouncementPath(const std::string& instance) {
  return "/instances/" + instance;
}

std::string MakeAnnouncementText(const VmAddresses& addresses,
                                 const AnnouncementText& announcement) {
  Json::Value body;
  body["addr"] = ToString(addresses.target);
  body["born"] = Json::Int64{announcement.start_time_ms};
  body["info"]["service"] = addresses.service;
  body["info"]["version"] = "v1";
  body["info"]["zone"] = addresses.failure_domain;
  body["info"]["concurrency"] = announcement.slots;
  body["status"]["state"] = announcement.state;
  body["status"]["seq"] = announcement.sequence;
  body["status"]["cold-left-s"] = 0;
  return ToJsonText(body);
}

}  // namespace cumin::test
