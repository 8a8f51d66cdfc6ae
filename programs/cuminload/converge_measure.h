#pragma once

#include <json/json.h>

#include <string>
#include <vector>

#include "cumin_core/error.h"
#include "cumin_core/time.h"
#include "cuminload/converge_fleet.h"

namespace cumin::load {

/** Parameters of a convergence measurement. */
struct ConvergePlan {
  int changes = 10;
  /** Duration of the measurement of idle control traffic. */
  Duration idle = std::chrono::seconds(10);
  /** Time limit for one change to be in force on all daemons. */
  Duration limit = std::chrono::seconds(30);
};

/** Result of one measurement. Times run from the start of the operator's write
    until a daemon puts the version in force, one for each change and daemon. */
struct ConvergeResult {
  std::string spread;
  int daemons = 0;
  int changes = 0;
  /** Number of (change, daemon) pairs not in force within the limit. */
  int missing = 0;
  std::vector<std::int64_t> times_ms;
  double idle_bytes_per_daemon_s = 0;
  double idle_bytes_per_daemon_s_max = 0;
  double bytes_per_daemon_change = 0;
  double idle_link_bytes_s = 0;
  double link_bytes_per_change = 0;
  double link_transfers_per_change = 0;
  double idle_store_calls_s = 0;
  /** Store calls made by the daemons. */
  double store_calls_per_change = 0;
  /** Store calls made by the operator, who reads the complete configuration to
      validate it. */
  double operator_calls_per_change = 0;
  double resident_mb_max = 0;
};

/** Starts a fleet, measures it and stops it. */
Result<ConvergeResult> MeasureConvergence(const ConvergeLayout& layout,
                                          const ConvergePlan& plan);

/** @param fraction  from 0 to 1
    @returns the smallest time that this fraction of the times does not exceed,
             in ms; 0 when there are none */
std::int64_t QuantileMs(std::vector<std::int64_t> times, double fraction);

/** @returns the result as a JSON object */
Json::Value ToJson(const ConvergeResult& result);

}  // namespace cumin::load
