#include "cumin_admission/slow_start.h"

#include <algorithm>

namespace cumin {

namespace {

/** A cold target may use one in this many of its slots. */
constexpr int kColdSlotDivisor = 4;

}  // namespace

void SlowStart::Begin() { has_answered_ = false; }

void SlowStart::OnAnswer(MonoTime now) {
  if (!has_answered_) {
    has_answered_ = true;
    first_answer_at_ = now;
  }
}

int SlowStart::UsableSlots(int slots, MonoTime now) const {
  const int cold_slots = std::min(slots, std::max(1, slots / kColdSlotDivisor));
  if (!has_answered_) {
    return cold_slots;
  }
  const Duration elapsed = now - first_answer_at_;
  if (elapsed >= ramp_time_) {
    return slots;
  }
  const double fraction = static_cast<double>(elapsed.count()) /
                          static_cast<double>(ramp_time_.count());
  return cold_slots + static_cast<int>((slots - cold_slots) * fraction);
}

}  // namespace cumin
