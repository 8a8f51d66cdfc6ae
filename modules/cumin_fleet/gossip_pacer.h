#pragma once

#include "cumin_core/time.h"

namespace cumin {

/** Rate limits for extra gossip messages. */
struct GossipPacerSettings {
  /** Minimum time between extra messages while a recent change is pending. */
  Duration interval{std::chrono::milliseconds(200)};
  /** Extra messages that may be sent before the long-term rate applies. */
  double burst = 10;
  /** Long-term rate of extra messages per second. */
  double rate_per_s = 0.5;
};

/** Token bucket for gossip messages sent in addition to regular probes. A new
    change spreads in fractions of a second while changes are rare, and a burst
    of changes adds only a bounded number of messages to the regular probes.

    Not thread-safe.
*/
class GossipPacer {
 public:
  explicit GossipPacer(const GossipPacerSettings& settings);

  /** @param now        must not decrease between calls
      @param has_fresh  whether a pending change has been sent only a few times
      @returns true when one extra message should be sent now */
  bool Take(MonoTime now, bool has_fresh);

 private:
  void Refill(MonoTime now);

  const GossipPacerSettings settings_;
  double tokens_;
  MonoTime refilled_{};
  MonoTime last_sent_{};
};

}  // namespace cumin
