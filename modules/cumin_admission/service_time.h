#pragma once

#include "cumin_core/time.h"

namespace cumin {

/** A moving average of how long a target executes one kind of call.

    Without new samples the estimate decays, so that an estimate which refuses
    all work cannot keep itself alive.
*/
class ServiceTime {
 public:
  /** Adds one sample.
      @param elapsed  how long the call held its slot
      @param now      when it ended */
  void Add(Duration elapsed, MonoTime now);

  /** @returns the estimate; zero before the first sample */
  Duration Estimate(MonoTime now) const;

 private:
  double average_us_ = 0;
  bool has_sample_ = false;
  MonoTime sampled_at_;
};

}  // namespace cumin
