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
    watcher that the store refuses need not wait for that: it asks the next in
    turn, at most kAskedTurns turns far, so that an outage of the store puts
    few daemons on duty. A read needs no lease: two watchers too many cost
    calls, not safety.

    Not thread-safe.
*/
class FetcherRotation {
 public:
  /** Turns behind the first that watchers ask directly. Two cover a store that
      refuses the watchers of both first turns; longer refusals are left to the
      slower way. */
  static constexpr int kAskedTurns = 2;

  /** @param settings  times
      @param random    spreads the take-over inside a step */
  FetcherRotation(const FetcherSettings& settings, Random& random);

  /** @param rank     this daemon's place in its region's ranking, from 0
      @param members  members in the ranking
      @param quiet    since when nobody in the region heard the store
      @param now      the time
      @returns true when this daemon is to hold a watch */
  bool IsOnDuty(int rank, int members, Duration quiet, MonoTime now);

  /** A watcher that the store refuses asked this daemon to watch. */
  void OnAsked(MonoTime now) { on_duty_until_ = now + settings_.hold; }

  /** @param rank     place of a watcher that the store refuses
      @param members  members in the ranking
      @returns the place of the daemon that it asks to watch, or -1 for none */
  static int Successor(int rank, int members);

 private:
  bool IsNextInTurn(int rank, int members, Duration quiet) const;

  const FetcherSettings settings_;
  const Duration delay_;
  std::optional<MonoTime> on_duty_until_;
};

}  // namespace cumin
