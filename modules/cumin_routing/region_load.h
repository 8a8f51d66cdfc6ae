#pragma once

#include "cumin_core/time.h"

namespace cumin {

/** Mean utilization of a service's targets in another region, estimated from
    the load reported by those that were called.

    Only few of them are called by one daemon, so that a single target's report
    is usually outdated. The estimate itself decays when no reports arrive, so
    that the region is tried again after an overload.
*/
class RegionLoad {
 public:
  /** @param utilization  calls per usable slot; 1 means fully utilized */
  void OnReport(double utilization, MonoTime now);

  /** @returns the estimated calls per usable slot, 0 without any report */
  double Utilization(MonoTime now) const;

 private:
  double mean_ = 0;
  MonoTime reported_at_{};
};

}  // namespace cumin
