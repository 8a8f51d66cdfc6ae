#include "cumin_routing/target_health.h"

#include <algorithm>

namespace cumin {

namespace {

constexpr int kFailuresBeforeAvoidance = 2;
constexpr Duration kFirstAvoidTime = std::chrono::milliseconds(500);
constexpr Duration kMaxAvoidTime = std::chrono::seconds(8);
/** Minimum time between two trial calls to a failing target. */
constexpr Duration kTrialInterval = std::chrono::milliseconds(500);
constexpr int kMaxDoublings = 4;

}  // namespace

void TargetHealth::OnFailure(MonoTime now) {
  failures_ += 1;
  if (failures_ < kFailuresBeforeAvoidance) {
    return;
  }
  const int doublings =
      std::min(failures_ - kFailuresBeforeAvoidance, kMaxDoublings);
  avoid_until_ =
      now + std::min(kMaxAvoidTime, kFirstAvoidTime * (1 << doublings));
}

void TargetHealth::OnUnreachable(MonoTime now) {
  failures_ = std::max(failures_, kFailuresBeforeAvoidance - 1);
  OnFailure(now);
}

void TargetHealth::OnSuccess() {
  failures_ = 0;
  avoid_until_ = MonoTime();
}

void TargetHealth::OnSent(MonoTime now) {
  if (failures_ >= kFailuresBeforeAvoidance) {
    avoid_until_ = std::max(avoid_until_, now + kTrialInterval);
  }
}

bool TargetHealth::IsUsable(MonoTime now) const { return now >= avoid_until_; }

}  // namespace cumin
