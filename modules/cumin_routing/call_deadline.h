#pragma once

#include <cstdint>

#include "cumin_core/time.h"

namespace cumin {

/** How long a call may still take; passed on from daemon to daemon as a length,
    since clocks differ between VMs. */
class CallDeadline {
 public:
  /** @param at  no answer is of use after this */
  explicit CallDeadline(MonoTime at) : at_(at) {}

  MonoTime at() const { return at_; }

  /** @returns the time left, at least zero */
  Duration Remaining(MonoTime now) const;

  /** @returns true when there is not even time for the way to a target */
  bool IsExpired(MonoTime now) const;

  /** @returns the whole milliseconds that the next hop may take: the time left
      less a margin for the answer's way back, at least 0 */
  std::int64_t NextHopMillis(MonoTime now) const;

 private:
  MonoTime at_;
};

}  // namespace cumin
