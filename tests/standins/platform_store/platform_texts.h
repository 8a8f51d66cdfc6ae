#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_core/endpoint.h"

namespace cumin::test {

/** A route in the operators' configuration. */
struct RouteText {
  std::string name;
  std::string prefix;
  /** The platform's name for the kind, e.g. "idempotent". */
  std::string kind;
  std::string service;
  bool is_public = false;
};

/** A customer in the operators' configuration. */
struct CustomerText {
  std::string name;
  std::vector<std::string> keys;
  /** Requests per second, and at once; 0 for no limit. */
  int rate = 0;
};

/** Host of every route that MakeConfigurationText writes. */
constexpr char kRouteHost[] = "shop.example";

/** @param max_body_bytes  limit of the body of a request
    @returns the operators' configuration document, as stored */
std::string MakeConfigurationText(
    int version, const std::vector<RouteText>& routes,
    int max_body_bytes = 100000,
    const std::vector<CustomerText>& customers = {});

/** Names and addresses of a test VM and the processes on it. */
struct VmAddresses {
  std::string vm;
  std::string region;
  std::string failure_domain;
  Endpoint callers;
  Endpoint peers;
  Endpoint readiness;
  Endpoint announcements;
  Endpoint target;
  Endpoint store;
  std::string service;
};

/** @param announce_interval_s  announcement interval of the target
    @returns the text of the settings file of the VM's daemon */
std::string MakeSettingsText(const VmAddresses& addresses,
                             int announce_interval_s);

/** Contents of a target's announcement. */
struct AnnouncementText {
  std::string instance;
  std::string state;
  int sequence = 0;
  int slots = 4;
  /** Start time of the instance, in milliseconds. */
  std::int64_t start_time_ms = 1000;
};

/** @returns the HTTP path for the announcements of an instance */
std::string AnnouncementPath(const std::string& instance);

/** @returns the body of an announcement by the target on this VM */
std::string MakeAnnouncementText(const VmAddresses& addresses,
                                 const AnnouncementText& announcement);

}  // namespace cumin::test
