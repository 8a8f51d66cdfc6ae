#pragma once

#include <optional>

#include "cumin_core/random.h"
#include "cumin_core/time.h"

namespace cumin {

/** Times of a FetcherRotation. */
struct FetcherSettings {
  /** Without word of the store for this long, others start to watch it. */
  Duration quiet = std::chrono::seconds(10);
  /** Each further step of quiet puts the next two of the ranking on duty. */
  Duration step = std::chrono::seconds(3);
  /** How long a daemon that took over stays on duty. */
  Duration hold = std::chrono::seconds(60);
};

/** Decides whether this daemon watches the store.

    The first two of the region's ranking always do. When no daemon of the
    region has heard the store for a while, two more for each step take over,
    so the number of new watches in a region is capped whatever its size. A
    read needs no lease: two watchers too many cost calls, not safety.

    Not thread-safe.
*/
class FetcherRotation {
 public:
  /** @param settings  times
      @param random    spreads the take-over inside a step */
  FetcherRotation(const FetcherSettings& settings, Random& random);

  /** @param rank     this daemon's place in its region's ranking, from 0
      @param members  members in the ranking
      @param quiet    since when nobody in the region heard the store
      @param now      the time
      @returns true when this daemon is to hold a watch */
  bool IsOnDuty(int rank, int members, Duration quiet, MonoTime now);

 private:
  bool IsNextInTurn(int rank, int members, Duration quiet) const;

  const FetcherSettings settings_;
  const Duration delay_;
  std::optional<MonoTime> on_duty_until_;
};

}  // namespace cumin
