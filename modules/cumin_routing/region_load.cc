#include "cumin_routing/region_load.h"

#include <algorithm>
#include <cmath>

namespace cumin {

namespace {

/** Time constant of the decay without reports. */
constexpr Duration kDecayTime = std::chrono::seconds(5);
/** Time after which a report replaces most of the estimate. */
constexpr Duration kAveragingTime = std::chrono::seconds(1);
/** Weight of a report that directly follows another one. */
constexpr double kMinWeight = 0.2;

double Decay(MonoTime::duration age, Duration time_constant) {
  return std::exp(-std::chrono::duration<double>(age) /
                  std::chrono::duration<double>(time_constant));
}

}  // namespace

void RegionLoad::OnReport(double utilization, MonoTime now) {
  const double weight =
      std::max(kMinWeight, 1 - Decay(now - reported_at_, kAveragingTime));
  mean_ = Utilization(now);
  mean_ += weight * (utilization - mean_);
  reported_at_ = now;
}

double RegionLoad::Utilization(MonoTime now) const {
  return mean_ * Decay(now - reported_at_, kDecayTime);
}

}  // namespace cumin
