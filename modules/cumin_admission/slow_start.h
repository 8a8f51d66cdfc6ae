#pragma once

#include "cumin_core/time.h"

namespace cumin {

/** Ramps up the usable slots of a new or restarted target.

    A cold target is given a quarter of its slots until it has answered its
    first call; after that, the number grows linearly to all slots over the ramp
    time.
*/
class SlowStart {
 public:
  /** @param ramp_time  time from the first answer until all slots are usable */
  explicit SlowStart(Duration ramp_time = std::chrono::seconds(5))
      : ramp_time_(ramp_time) {}

  /** Restarts the ramp for a new target or a replaced process. */
  void Begin();

  /** Records an answer of the target; the first one starts the ramp. */
  void OnAnswer(MonoTime now);

  /** @param slots  slots announced by the target, at least 0
      @returns the number of slots that may be used now */
  int UsableSlots(int slots, MonoTime now) const;

 private:
  Duration ramp_time_;
  bool has_answered_ = false;
  MonoTime first_answer_at_;
};

}  // namespace cumin
