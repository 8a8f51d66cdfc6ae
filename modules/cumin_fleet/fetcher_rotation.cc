#include "cumin_fleet/fetcher_rotation.h"

#include "cumin_fleet/spread_plan.h"

namespace cumin {

FetcherRotation::FetcherRotation(const FetcherSettings& settings,
                                 Random& random)
    : settings_(settings),
      takeover_delay_(
          random.Below(settings.takeover_interval.count() / 2 + 1)) {}

bool FetcherRotation::ShouldWatchStore(int rank, int members, Duration silence,
                                       MonoTime now) {
  if (rank < 0) {
    return false;
  }
  if (rank < SpreadPlan::kFetchers) {
    return true;
  }
  if (IsTakeoverPair(rank, members, silence)) {
    watch_until_ = now + settings_.watch_duration;
  }
  return watch_until_ && now < *watch_until_;
}

int FetcherRotation::Successor(int rank, int members) {
  const int next = rank + SpreadPlan::kFetchers;
  const bool has_successor =
      rank >= 0 && next < members &&
      next < (1 + kMaxDirectTakeovers) * SpreadPlan::kFetchers;
  return has_successor ? next : -1;
}

bool FetcherRotation::IsTakeoverPair(int rank, int members,
                                     Duration silence) const {
  const Duration overdue = silence - settings_.max_silence - takeover_delay_;
  if (overdue < Duration::zero()) {
    return false;
  }
  const auto steps = overdue / settings_.takeover_interval;
  const int pairs =
      (members + SpreadPlan::kFetchers - 1) / SpreadPlan::kFetchers;
  const auto active_pair = (1 + steps) % pairs;
  return rank / SpreadPlan::kFetchers == active_pair;
}

}  // namespace cumin
