#pragma once

#include <optional>

#include "cumin_core/random.h"
#include "cumin_core/time.h"

namespace cumin {

/** Timing of a FetcherRotation. */
struct FetcherSettings {
  /** Time without contact of the region with the store after which further
      daemons start to watch it. */
  Duration max_silence = std::chrono::seconds(10);
  /** After each further interval of this length without contact, the next two
      daemons of the ranking start a watch. */
  Duration takeover_interval = std::chrono::seconds(3);
  /** How long a daemon that took over keeps its watch. */
  Duration watch_duration = std::chrono::seconds(60);
};

/** Decides whether this daemon watches the store for configuration changes.

    The first two daemons of the region's ranking always do. When no daemon of
    the region has been in contact with the store for a while, two more take
    over in each takeover interval, so the number of new watches is bounded
    regardless of the size of the region. A watcher that the store refuses does
    not wait for that: it asks the next pair of the ranking directly, at most
    kMaxDirectTakeovers pairs down, so that an outage of the store adds only a
    few watchers. Watching needs no lease: surplus watchers cost store calls
    but are safe.

    Not thread-safe.
*/
class FetcherRotation {
 public:
  /** Number of pairs after the first that watchers ask directly. Two are enough
      when the store refuses the first two pairs; if it refuses more, the
      time-based takeover applies. */
  static constexpr int kMaxDirectTakeovers = 2;

  /** @param random  source of a random delay of up to half of the takeover
      interval, which spreads the takeovers in time */
  FetcherRotation(const FetcherSettings& settings, Random& random);

  /** @param rank     position of this daemon in its region's ranking, from 0;
                      negative when it is not ranked
      @param members  number of members in the ranking
      @param silence  time since the region's last contact with the store
      @returns true when this daemon should watch the store */
  bool ShouldWatchStore(int rank, int members, Duration silence, MonoTime now);

  /** Handles the request of a watcher that the store refuses to take over. */
  void OnWatchRequested(MonoTime now) {
    watch_until_ = now + settings_.watch_duration;
  }

  /** @param rank     position of a watcher that the store refuses
      @param members  number of members in the ranking
      @returns the position of the daemon to ask to take over, or -1 for none */
  static int Successor(int rank, int members);

 private:
  bool IsTakeoverPair(int rank, int members, Duration silence) const;

  const FetcherSettings settings_;
  const Duration takeover_delay_;
  std::optional<MonoTime> watch_until_;
};

}  // namespace cumin
