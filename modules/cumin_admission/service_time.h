#pragma once

#include "cumin_core/time.h"

namespace cumin {

/** Moving average of the time that a target takes to execute a kind of call.

    Without new samples the estimate decays. Otherwise an estimate so high that
    every call is refused would never be corrected by a new sample.
*/
class ServiceTime {
 public:
  /** Adds a sample.
      @param elapsed  how long the call held its slot
      @param now      when the call ended */
  void Add(Duration elapsed, MonoTime now);

  /** @returns the estimate; zero before the first sample */
  Duration Estimate(MonoTime now) const;

 private:
  double average_us_ = 0;
  bool has_sample_ = false;
  MonoTime sampled_at_;
};

}  // namespace cumin
