#include "cumin_fleet/fetcher_rotation.h"

#include "cumin_fleet/spread_plan.h"

namespace cumin {

FetcherRotation::FetcherRotation(const FetcherSettings& settings,
                                 Random& random)
    : settings_(settings),
      delay_(random.Below(settings.step.count() / 2 + 1)) {}

bool FetcherRotation::IsOnDuty(int rank, int members, Duration quiet,
                               MonoTime now) {
  if (rank < 0) {
    return false;
  }
  if (rank < SpreadPlan::kFetchers) {
    return true;
  }
  if (IsNextInTurn(rank, members, quiet)) {
    on_duty_until_ = now + settings_.hold;
  }
  return on_duty_until_ && now < *on_duty_until_;
}

int FetcherRotation::Successor(int rank, int members) {
  const int next = rank + SpreadPlan::kFetchers;
  const bool is_asked = rank >= 0 && next < members &&
                        next < (1 + kAskedTurns) * SpreadPlan::kFetchers;
  return is_asked ? next : -1;
}

bool FetcherRotation::IsNextInTurn(int rank, int members,
                                   Duration quiet) const {
  const Duration over = quiet - settings_.quiet - delay_;
  if (over < Duration::zero()) {
    return false;
  }
  const auto steps = over / settings_.step;
  const int turns =
      (members + SpreadPlan::kFetchers - 1) / SpreadPlan::kFetchers;
  const auto turn = (1 + steps) % turns;
  return rank / SpreadPlan::kFetchers == turn;
}

}  // namespace cumin
