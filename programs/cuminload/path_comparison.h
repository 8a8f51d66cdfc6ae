#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "cumin_core/time.h"

namespace cumin::load {

/** All latencies measured on one path; quantiles are exact. */
class LatencySample {
 public:
  void Add(Duration latency) { latencies_.push_back(latency); }

  /** @param fraction  from 0 to 1
      @returns the smallest latency that this fraction of the latencies does not
               exceed; zero when there are none */
  Duration Quantile(double fraction) const;

  std::size_t count() const { return latencies_.size(); }

 private:
  std::vector<Duration> latencies_;
};

/** Measurements of one path to a target: direct, or through daemons. */
struct PathResult {
  std::string name;
  LatencySample latencies;
  std::size_t failed = 0;
};

/** @param paths  the first is the baseline
    @returns a text table of median and 99th percentile of each path, and their
             differences from the baseline */
std::string ComparePaths(const std::vector<PathResult>& paths);

}  // namespace cumin::load
