#pragma once

#include <unordered_map>

#include "cumin_admission/rate_share.h"
#include "cumin_core/identifier.h"
#include "cumin_core/time.h"

namespace cumin {

/** Aggregates demand over daemons for the customers that this daemon
    coordinates, so that each daemon exchanges a message with one peer instead
    of all.

    The state is soft: if the coordinator is lost, the daemons report to its
    successor within the lifetime of a report. Not thread-safe.
*/
class DemandAggregator {
 public:
  /** @param max_age  reports expire after this time unless renewed */
  explicit DemandAggregator(Duration max_age) : max_age_(max_age) {}

  /** Records a daemon's demand and returns that of all others.
      @param report  the daemon's own report
      @returns the other daemons' demand for the same customer, in calls per
      second */
  double Exchange(const DemandReport& report, MonoTime now);

 private:
  struct Demand {
    double per_s = 0;
    MonoTime received_at;
  };
  using DemandBySource = std::unordered_map<VmId, Demand>;

  void RemoveExpired(DemandBySource* demands, MonoTime now) const;

  Duration max_age_;
  std::unordered_map<CustomerId, DemandBySource> customers_;
};

}  // namespace cumin
