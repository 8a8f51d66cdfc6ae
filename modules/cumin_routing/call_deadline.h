#pragma once

#include <cstdint>

#include "cumin_core/time.h"

namespace cumin {

/** Deadline of a call. It is forwarded between daemons as a remaining duration
    rather than a time, because clocks differ between VMs. */
class CallDeadline {
 public:
  /** @param at  time after which a response is no longer useful */
  explicit CallDeadline(MonoTime at) : at_(at) {}

  MonoTime at() const { return at_; }

  /** @returns the time left, never negative */
  Duration Remaining(MonoTime now) const;

  /** @returns true when the time left does not exceed the margin for one hop */
  bool IsExpired(MonoTime now) const;

  /** @returns the time budget of the next hop in whole milliseconds: the time
      left minus a margin for returning the response, at least 0 */
  std::int64_t NextHopMillis(MonoTime now) const;

 private:
  MonoTime at_;
};

}  // namespace cumin
