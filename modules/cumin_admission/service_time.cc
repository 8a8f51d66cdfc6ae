#include "cumin_admission/service_time.h"

#include <cmath>

namespace cumin {

namespace {

/** Weight of the newest sample in the moving average. */
constexpr double kSampleWeight = 0.1;
/** How long an estimate stays unchanged without new samples before it decays.
 */
constexpr Duration kHoldTime = std::chrono::seconds(2);
constexpr Duration kHalfLife = std::chrono::seconds(3);

}  // namespace

void ServiceTime::Add(Duration elapsed, MonoTime now) {
  const auto sample_us = static_cast<double>(elapsed.count());
  if (!has_sample_) {
    average_us_ = sample_us;
  } else {
    const auto current_us = static_cast<double>(Estimate(now).count());
    average_us_ = current_us + kSampleWeight * (sample_us - current_us);
  }
  has_sample_ = true;
  sampled_at_ = now;
}

Duration ServiceTime::Estimate(MonoTime now) const {
  const Duration age = now - sampled_at_;
  if (!has_sample_ || age <= kHoldTime) {
    return Duration(static_cast<Duration::rep>(average_us_));
  }
  const double half_lives = static_cast<double>((age - kHoldTime).count()) /
                            static_cast<double>(kHalfLife.count());
  return Duration(
      static_cast<Duration::rep>(average_us_ * std::exp2(-half_lives)));
}

}  // namespace cumin
