#pragma once

#include <string>

#include "cumin_admission/allotment_ledger.h"
#include "cumin_core/endpoint.h"
#include "cumin_core/error.h"
#include "cumin_core/identifier.h"
#include "cumin_core/time.h"

namespace cumin {

/** Settings of the daemon beside a target, read from its settings file. */
struct MeshSettings {
  VmId vm;
  RegionId region;
  FailureDomainId failure_domain;
  /** Listening address for callers on this VM. */
  Endpoint callers;
  /** Listening address for other daemons, over TCP and UDP. */
  Endpoint peers;
  /** Listening address of the readiness check. */
  Endpoint readiness;
  /** Listening address for announcements of the target on this VM. */
  Endpoint announcements;
  /** Address of the target on this VM; `service` is the service it runs. */
  Endpoint target;
  ServiceId service;
  Endpoint store;
  /** Interval between the target's announcements. */
  Duration announce_interval{std::chrono::milliseconds(1000)};
  /** Time after the acknowledgement of a target's leave announcement by which
      no new calls may reach it. */
  Duration leave_limit{std::chrono::milliseconds(2500)};
  /** Maximum time from SIGTERM to the end of the process. */
  Duration grace{std::chrono::seconds(6)};
  /** Upper limit of retries as a fraction of a service's calls, over all
      daemons. */
  double retry_ratio = 0.2;
  /** Retries of a service, over all daemons, that are allowed besides; 0 when
      unknown. */
  double retry_slack = 0;
  /** Bandwidth of this VM's link in megabits per second; 0 when unknown. */
  double link_mbps = 0;
  /** Memory in megabytes (2^20 bytes) above which this process is killed; 0
     when unknown. */
  double memory_mb = 0;
  /** File descriptors that this process may open; 0 when unknown. */
  int max_fds = 0;
  /** The whole mesh starts for the first time, all daemons at once. */
  bool is_first_start = false;
  /** Time after the acknowledgement of a version by which no daemon may serve
      a request with a key that the version withdrew, also when cut off; zero
      when a withdrawal is bound by the version's spread only. */
  Duration key_withdrawal_limit{0};
  /** By how much customers may exceed their allotments. */
  AllotmentTolerance allotment_tolerance;
  /** Whether targets announce the version of their software, and operators
      roll versions out. */
  bool rollouts = false;

  friend bool operator==(const MeshSettings& a, const MeshSettings& b) {
    return a.vm == b.vm && a.region == b.region &&
           a.failure_domain == b.failure_domain && a.callers == b.callers &&
           a.peers == b.peers && a.readiness == b.readiness &&
           a.announcements == b.announcements && a.target == b.target &&
           a.service == b.service && a.store == b.store &&
           a.announce_interval == b.announce_interval &&
           a.leave_limit == b.leave_limit && a.grace == b.grace &&
           a.retry_ratio == b.retry_ratio && a.retry_slack == b.retry_slack &&
           a.link_mbps == b.link_mbps && a.memory_mb == b.memory_mb &&
           a.max_fds == b.max_fds && a.is_first_start == b.is_first_start &&
           a.key_withdrawal_limit == b.key_withdrawal_limit &&
           a.allotment_tolerance == b.allotment_tolerance &&
           a.rollouts == b.rollouts;
  }
};

/** Parses and checks a settings document.
    @param text    YAML
    @param source  file name for error messages
    @returns the settings, or kInvalid with line, field and allowed range */
Result<MeshSettings> ParseMeshSettings(const std::string& text,
                                       const std::string& source);

/** Reads and checks a settings file.
    @returns the settings, kNotFound when the file cannot be opened, or the
    error of ParseMeshSettings */
Result<MeshSettings> LoadMeshSettings(const std::string& path);

}  // namespace cumin
