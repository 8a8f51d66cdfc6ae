#include "cumin_routing/rollout_plan.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cumin {

namespace {

/** Time constant with which earlier answers lose weight. */
constexpr Duration kEvidenceTime = std::chrono::seconds(2);
/** Answers of the new version on a route before it is judged there. */
constexpr double kMinAnswers = 12;
/** As kMinAnswers, for the comparison of times, which vary more. */
constexpr double kMinTimedAnswers = 30;
/** A new version that fails this much more often than the old one is bad. */
constexpr double kFailureMargin = 0.15;
constexpr double kMinFailures = 5;
/** A new version that takes this many times as long is bad. The targets of one
    version may differ by half as much. */
constexpr double kSlowFactor = 2.8;
/** Part of the order's time that the first share lasts. Some versions fail a
   few seconds after their start only. */
constexpr double kFirstStepPart = 0.3;
constexpr Duration kMinFirstStep = std::chrono::seconds(4);
/** Answers of the new version before the share rises. */
constexpr double kMinTotalAnswers = 60;
/** The shares after the first one. */
constexpr double kLaterShares[] = {0.25, 0.5, 1.0};
constexpr Duration kStepTime = std::chrono::milliseconds(1000);
/** Time without a request at the old version before the roll-out is complete:
    all daemons have the last decision by then. */
constexpr Duration kIdleTime = std::chrono::milliseconds(1500);
constexpr Duration kLastStepTime = std::chrono::milliseconds(2000);

}  // namespace

RolloutPlan::RolloutPlan(RolloutOrder order, MonoTime ordered_at)
    : ordered_at_(ordered_at),
      decayed_at_(ordered_at),
      share_since_(ordered_at),
      old_busy_at_(ordered_at) {
  rollout_.order = std::move(order);
}

void RolloutPlan::Resume(const Rollout& known) {
  if (known.state > rollout_.state || known.stamp > rollout_.stamp) {
    rollout_ = known;
  }
}

void RolloutPlan::OnReport(const VersionReport& report, MonoTime now) {
  const bool is_new = report.version == rollout_.order.to_version;
  Decay(now);
  for (const VersionSample& it : report.samples) {
    RouteEvidence& route = routes_[it.route];
    Evidence& evidence = is_new ? route.after : route.before;
    evidence.answers += it.answers;
    evidence.failures += it.failures;
    evidence.timed += it.timed;
    evidence.seconds += std::chrono::duration<double>(it.total_time).count();
    if (is_new && it.answers > 0) {
      new_answers_ += it.answers;
      if (!first_answer_at_) {
        first_answer_at_ = now;
      }
    }
  }
  if (!is_new && (report.in_flight > 0 || !report.samples.empty())) {
    old_busy_at_ = now;
  }
}

void RolloutPlan::Decay(MonoTime now) {
  const double factor =
      std::exp(-std::chrono::duration<double>(now - decayed_at_) /
               std::chrono::duration<double>(kEvidenceTime));
  decayed_at_ = now;
  for (auto& [name, route] : routes_) {
    for (Evidence* const it : {&route.before, &route.after}) {
      it->answers *= factor;
      it->failures *= factor;
      it->timed *= factor;
      it->seconds *= factor;
    }
  }
}

const Rollout& RolloutPlan::Decide(MonoTime now) {
  if (rollout_.state != RolloutState::kActive) {
    return rollout_;
  }
  const bool is_bad = std::any_of(
      routes_.begin(), routes_.end(),
      [this](const auto& it) { return IsWorse(it.first, it.second); });
  if (is_bad) {
    rollout_.state = RolloutState::kRolledBack;
    rollout_.stamp += 1;
    rollout_.share = 0;
  } else {
    Advance(now);
  }
  return rollout_;
}

bool RolloutPlan::IsWorse(const std::string& route,
                          const RouteEvidence& evidence) {
  const Evidence& before = evidence.before;
  const Evidence& after = evidence.after;
  if (after.answers < kMinAnswers) {
    return false;
  }
  const double rate_after = after.failures / after.answers;
  const double rate_before =
      before.answers > 0 ? before.failures / before.answers : 0;
  if (after.failures >= kMinFailures &&
      rate_after > rate_before + kFailureMargin) {
    reason_ = "fails more often on route " + route;
    return true;
  }
  if (before.timed < kMinTimedAnswers || after.timed < kMinTimedAnswers) {
    return false;
  }
  const double mean_after = after.seconds / after.timed;
  const double mean_before = before.seconds / before.timed;
  if (mean_after > kSlowFactor * mean_before) {
    reason_ = "is slower on route " + route;
    return true;
  }
  return false;
}

void RolloutPlan::Advance(MonoTime now) {
  if (rollout_.share == 0) {
    SetShare(kFirstShare, now);
    return;
  }
  if (rollout_.share <= kFirstShare) {
    const Duration first_step =
        std::max(kMinFirstStep,
                 Duration(static_cast<Duration::rep>(
                     kFirstStepPart *
                     static_cast<double>(rollout_.order.duration.count()))));
    const bool is_proved = first_answer_at_ &&
                           now - *first_answer_at_ >= first_step &&
                           new_answers_ >= kMinTotalAnswers;
    if (is_proved) {
      SetShare(kLaterShares[0], now);
    }
    return;
  }
  if (rollout_.share >= 1) {
    if (now - share_since_ >= kLastStepTime && IsOldVersionIdle(now)) {
      rollout_.state = RolloutState::kComplete;
      rollout_.stamp += 1;
    }
    return;
  }
  if (now - share_since_ >= kStepTime) {
    for (const double it : kLaterShares) {
      if (it > rollout_.share) {
        SetShare(it, now);
        return;
      }
    }
  }
}

bool RolloutPlan::IsOldVersionIdle(MonoTime now) const {
  return now - old_busy_at_ >= kIdleTime;
}

void RolloutPlan::SetShare(double share, MonoTime now) {
  rollout_.share = share;
  rollout_.stamp += 1;
  share_since_ = now;
}

}  // namespace cumin
