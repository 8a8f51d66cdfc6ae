#pragma once

#include <optional>
#include <string>
#include <vector>

#include "cumin_core/endpoint.h"
#include "cumin_core/error.h"
#include "cumin_core/identifier.h"
#include "cumin_core/time.h"

namespace cumin {

/** How configuration versions reach a daemon. */
enum class SpreadMode {
  /** Two daemons of each region watch the store and pass changes on. */
  kTree,
  /** Every daemon watches the store; for comparison. */
  kWatchAll,
};

/** What a daemon reads from its settings file at start. */
struct DaemonSettings {
  VmId vm;
  RegionId region;
  FailureDomainId failure_domain;
  /** Where the daemon listens; port 0 picks a free port. */
  Endpoint listen;
  /** The platform's key-value store. */
  Endpoint store;
  /** Daemons to join by when the store cannot be reached. */
  std::vector<Endpoint> seeds;
  /** The region that the store stands in; changes start from there. Empty for
      the first region by name. */
  RegionId store_region;
  SpreadMode spread = SpreadMode::kTree;
  /** Calls in execution at the same time; more are refused. */
  int workers = 64;
  std::string log_level = "info";
  /** File that receives spans as JSON lines; empty for none. */
  std::string trace_file;
  /** How long a target may stay silent before it is taken as gone. */
  Duration announce_timeout{std::chrono::seconds(5)};
  /** Length of the store lease under which this daemon owns ledger shards. */
  Duration ledger_lease{std::chrono::seconds(30)};
  /** How long callers and other daemons are still served after SIGTERM, so
      that they see that this daemon leaves. */
  Duration leave_notice{std::chrono::seconds(1)};
  /** Longest time from SIGTERM to the end of the process. */
  Duration drain_limit{std::chrono::seconds(20)};
};

/** Parses and checks a settings document.
    @param text    YAML
    @param source  the file to name in errors
    @returns the settings, or kInvalid with line, field and allowed range */
Result<DaemonSettings> ParseDaemonSettings(const std::string& text,
                                           const std::string& source);

/** Reads and checks a settings file.
    @returns the settings, kNotFound when the file cannot be read */
Result<DaemonSettings> LoadDaemonSettings(const std::string& path);

}  // namespace cumin
