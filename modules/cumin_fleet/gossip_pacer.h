#pragma once

#include "cumin_core/time.h"

namespace cumin {

/** Limits of extra gossip. */
struct GossipPacerSettings {
  /** Time between extra messages while a new change waits. */
  Duration interval{std::chrono::milliseconds(200)};
  /** Extra messages that may go out in a row. */
  double burst = 10;
  /** Extra messages a second in the long run. */
  double rate_per_s = 0.5;
};

/** Decides when a message goes out beyond the regular probes, so that a new
    change spreads in fractions of a second while few changes happen, and a
    storm of changes costs no more than the regular probes and a bounded share.

    Not thread-safe.
*/
class GossipPacer {
 public:
  /** @param settings  the limits */
  explicit GossipPacer(const GossipPacerSettings& settings);

  /** @param now         the time; never goes back
      @param has_fresh   a change waits that has hardly been sent yet
      @returns true when one extra message is to be sent now */
  bool Take(MonoTime now, bool has_fresh);

 private:
  void Refill(MonoTime now);

  const GossipPacerSettings settings_;
  double tokens_;
  MonoTime refilled_{};
  MonoTime last_sent_{};
};

}  // namespace cumin
