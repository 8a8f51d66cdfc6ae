#pragma once

#include <json/json.h>

#include <cstdint>

#include "cumin_core/endpoint.h"
#include "cumin_core/identifier.h"
#include "cumin_core/json_object.h"
#include "cumin_core/time.h"

namespace cumin {

/** What is known of the configuration in force on one daemon. */
struct MemberVersionReport {
  VmId vm;
  Endpoint endpoint;
  RegionId region;
  FailureDomainId failure_domain;
  /** The version that it last said to be in force; 0 for none. */
  std::uint64_t version = 0;
  /** Since when, by its own clock. */
  WallTime in_force_since;
  /** When it was last heard, by the clock of the daemon that reports this. */
  WallTime last_heard;
  /** Whether it can be heard now. */
  bool reachable = false;
  /** How many daemons it knows of, itself included; 0 when it did not say. */
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

/** Reads a report; errors are kept by the reader. */
MemberVersionReport ReadMemberVersionReport(JsonObject& fields);

}  // namespace cumin
