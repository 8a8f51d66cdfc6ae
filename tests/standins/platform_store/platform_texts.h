#pragma once

#include <string>
#include <vector>

#include "cumin_core/endpoint.h"

namespace cumin::test {

/** A route as the operators write it. */
struct RouteText {
  std::string name;
  std::string prefix;
  /** As the platform calls it, e.g. "idempotent". */
  std::string kind;
  std::string service;
};

/** The host of all routes that MakeConfigurationText writes. */
constexpr char kRouteHost[] = "shop.example";

/** @returns the operators' configuration as it stands in the store */
std::string MakeConfigurationText(int version,
                                  const std::vector<RouteText>& routes);

/** The addresses of one VM of a test and what runs there. */
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

/** @param announce_interval_s  how often the target will announce itself
    @returns the settings file of the daemon on this VM */
std::string MakeSettingsText(const VmAddresses& addresses,
                             int announce_interval_s);

/** What a target says of itself. */
struct AnnouncementText {
  std::string instance;
  std::string state;
  int sequence = 0;
  int slots = 4;
  /** When the instance started, in milliseconds. */
  int start_time_ms = 1000;
};

/** @returns the path to announce an instance at */
std::string AnnouncementPath(const std::string& instance);

/** @returns the body of an announcement by the target on this VM */
std::string MakeAnnouncementText(const VmAddresses& addresses,
                                 const AnnouncementText& announcement);

}  // namespace cumin::test
