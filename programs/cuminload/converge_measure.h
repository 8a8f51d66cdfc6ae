#pragma once

#include <json/json.h>

#include <string>
#include <vector>

#include "cumin_core/error.h"
#include "cumin_core/time.h"
#include "cuminload/converge_fleet.h"

namespace cumin::load {

/** What to do to a fleet. */
struct ConvergePlan {
  int changes = 10;
  /** How long the fleet is left alone to count idle control bytes. */
  Duration idle = std::chrono::seconds(10);
  /** Longest wait for one change to be in force everywhere. */
  Duration limit = std::chrono::seconds(30);
};

/** What one run over one fleet found. Times are from the start of the
    operator's write to the daemon's swap, for each change and daemon. */
struct ConvergeResult {
  std::string spread;
  int daemons = 0;
  int changes = 0;
  /** Pairs of change and daemon that were not in force within the limit. */
  int missing = 0;
  std::vector<std::int64_t> times_ms;
  double idle_bytes_per_daemon_s = 0;
  double idle_bytes_per_daemon_s_max = 0;
  double bytes_per_daemon_change = 0;
  double idle_link_bytes_s = 0;
  double link_bytes_per_change = 0;
  double link_transfers_per_change = 0;
  double idle_store_calls_s = 0;
  /** By the daemons. */
  double store_calls_per_change = 0;
  /** By the operator, who reads the whole configuration to validate it. */
  double operator_calls_per_change = 0;
  double resident_mb_max = 0;
};

/** Starts a fleet, measures it and ends it. */
Result<ConvergeResult> MeasureConvergence(const ConvergeLayout& layout,
                                          const ConvergePlan& plan);

/** @returns the time below which the fraction of the times lies, in ms */
std::int64_t QuantileMs(std::vector<std::int64_t> times, double fraction);

/** @returns the result as a JSON object */
Json::Value ToJson(const ConvergeResult& result);

}  // namespace cumin::load
