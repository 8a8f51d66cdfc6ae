#pragma once

#include <json/json.h>

#include <cstdint>

#include "cumin_core/endpoint.h"
#include "cumin_core/identifier.h"
#include "cumin_core/json_object.h"
#include "cumin_core/time.h"

namespace cumin {

/** Configuration version in force on one daemon, as last reported. */
struct MemberVersionReport {
  VmId vm;
  Endpoint endpoint;
  RegionId region;
  FailureDomainId failure_domain;
  /** The version that the daemon last reported as in force; 0 for none. */
  std::uint64_t version = 0;
  /** Time since which `version` is in force, by the daemon's own clock. */
  WallTime in_force_since;
  /** Time of the last message from the daemon, by the clock of the daemon that
      makes this report. */
  WallTime last_heard;
  /** Whether the daemon currently responds. */
  bool reachable = false;
  /** Number of daemons known to the daemon, including itself; 0 if not
      reported. */
  std::uint64_t known_daemons = 0;

  friend bool operator==(const MemberVersionReport& a,
                         const MemberVersionReport& b) {
    return a.vm == b.vm && a.endpoint == b.endpoint && a.region == b.region &&
           a.failure_domain == b.failure_domain && a.version == b.version &&
           a.in_force_since == b.in_force_since &&
           a.last_heard == b.last_heard && a.reachable == b.reachable &&
           a.known_daemons == b.known_daemons;
  }
};

/** @returns the report as a JSON object */
Json::Value ToJson(const MemberVersionReport& report);

/** Reads a report; errors are recorded in `fields`. */
MemberVersionReport ReadMemberVersionReport(JsonObject& fields);

}  // namespace cumin
