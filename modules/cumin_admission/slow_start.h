#pragma once

#include "cumin_core/time.h"

namespace cumin {

/** Ramps up the usable slots of a new or restarted target.

    A cold target gets a quarter of its slots until it has answered a first
    call, and the rest in equal steps over the ramp time.
*/
class SlowStart {
 public:
  /** @param ramp_time  from the first answer to all slots */
  explicit SlowStart(Duration ramp_time = std::chrono::seconds(5))
      : ramp_time_(ramp_time) {}

  /** The target is new, or its process was replaced. */
  void Begin();

  /** The target answered a call. */
  void OnAnswer(MonoTime now);

  /** @param slots  what the target announced, at least 0
      @returns how many of them may be used now */
  int UsableSlots(int slots, MonoTime now) const;

 private:
  Duration ramp_time_;
  bool has_answered_ = false;
  MonoTime first_answer_at_;
};

}  // namespace cumin
