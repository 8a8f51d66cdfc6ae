#pragma once

#include <cstddef>

#include "cumin_core/time.h"

namespace cumin {

/** Answer to a request for room on a link. */
struct InboundGrant {
  bool is_granted = true;
  /** When granted, the time after which the sender may send; otherwise the time
      after which it may ask again. */
  Duration wait{0};

  friend bool operator==(const InboundGrant& a, const InboundGrant& b) {
    return a.is_granted == b.is_granted && a.wait == b.wait;
  }
};

/** Room for large request bodies on the link of this VM, which other daemons
   ask for before they send one.

    Bodies take a part of the link only, one after the other, so that small
    requests, nested calls and answers are not delayed behind them. A body that
    would wait for long is refused before it is sent: the caller learns at once
    when to come back, and the link carries no body that comes too late.

    Answers the load "more large uploads than the links of the targets' VMs
    carry, beside nested calls to the same targets". Not thread-safe.
*/
class InboundLink {
 public:
  /** Longest wait for room. */
  static constexpr Duration kMaxWait = std::chrono::milliseconds(600);

  /** @param megabits_per_s  bandwidth of the link; 0 when unknown, which grants
                             everything */
  explicit InboundLink(double megabits_per_s);

  /** @param n  bytes of the body
      @param left  time that the caller still has */
  InboundGrant Reserve(std::size_t n, Duration left, MonoTime now);

 private:
  const double bytes_per_s_;
  MonoTime busy_until_;
};

}  // namespace cumin
