#pragma once

#include <string>

#include "cumin_core/endpoint.h"
#include "cumin_core/error.h"
#include "cumin_core/identifier.h"
#include "cumin_core/time.h"

namespace cumin {

/** What the daemon beside a target reads from its settings file. */
struct MeshSettings {
  VmId vm;
  RegionId region;
  FailureDomainId failure_domain;
  /** Where callers on this VM send their calls. */
  Endpoint callers;
  /** Where other daemons reach this one, over TCP and UDP. */
  Endpoint peers;
  /** Where readiness is asked. */
  Endpoint readiness;
  /** Where the target on this VM announces itself. */
  Endpoint announcements;
  /** The target on this VM and its service. */
  Endpoint target;
  ServiceId service;
  Endpoint store;
  /** How often the target announces itself. */
  Duration announce_interval{std::chrono::milliseconds(1000)};
  /** No new work reaches a leaving target this long after its leave was
      acknowledged. */
  Duration leave_limit{std::chrono::milliseconds(2500)};
  /** Time from SIGTERM to the end of the process at most. */
  Duration grace{std::chrono::seconds(6)};
  /** Retries of all daemons stay below this part of a service's calls. */
  double retry_ratio = 0.2;
  /** Rate of this VM's link in megabits a second; 0 when unknown. */
  double link_mbps = 0;

  friend bool operator==(const MeshSettings& a, const MeshSettings& b) {
    return a.vm == b.vm && a.region == b.region &&
           a.failure_domain == b.failure_domain && a.callers == b.callers &&
           a.peers == b.peers && a.readiness == b.readiness &&
           a.announcements == b.announcements && a.target == b.target &&
           a.service == b.service && a.store == b.store &&
           a.announce_interval == b.announce_interval &&
           a.leave_limit == b.leave_limit && a.grace == b.grace &&
           a.retry_ratio == b.retry_ratio && a.link_mbps == b.link_mbps;
  }
};

/** Parses and checks a settings document.
    @param text    YAML
    @param source  the file to name in errors
    @returns the settings, or kInvalid with line, field and allowed range */
Result<MeshSettings> ParseMeshSettings(const std::string& text,
                                       const std::string& source);

/** Reads and checks a settings file.
    @returns the settings, kNotFound when the file cannot be read */
Result<MeshSettings> LoadMeshSettings(const std::string& path);

}  // namespace cumin
