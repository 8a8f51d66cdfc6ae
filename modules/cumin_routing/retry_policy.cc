#include "cumin_routing/retry_policy.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>

namespace cumin {

namespace {

constexpr int kMaxRedirects = 2;

/** @returns true when the daemon is healthy but its target does not accept the
    call */
bool IsRedirectable(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kTargetLeaving:
    case RefusalReason::kTargetStarting:
    case RefusalReason::kShuttingDown:
    case RefusalReason::kNotShardOwner:
    case RefusalReason::kNoConfiguration:
      return true;
    default:
      return false;
  }
}

/** @returns true when another target may succeed where this one failed */
bool MaySucceedElsewhere(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kConcurrencyLimited:
    case RefusalReason::kQueueFull:
    case RefusalReason::kShed:
    case RefusalReason::kPeerUnreachable:
    case RefusalReason::kConnectionLost:
    case RefusalReason::kAnswerIncomplete:
    case RefusalReason::kTargetFailed:
    case RefusalReason::kNoTarget:
    case RefusalReason::kDeadlineTooShort:
      return true;
    default:
      return IsRedirectable(reason);
  }
}

}  // namespace

RetryAllowance::RetryAllowance(int granted, const std::string& header)
    : left_(granted) {
  if (!header.empty()) {
    // Text that is not a number is parsed as 0, which safely disables retries.
    const std::int64_t passed_on = std::strtoll(header.c_str(), nullptr, 10);
    left_ = static_cast<int>(std::clamp<std::int64_t>(passed_on, 0, granted));
  }
}

std::string RetryAllowance::NextHopHeader() const {
  return std::to_string(is_retry_ ? 0 : left_);
}

void RetryAllowance::OnRetry() {
  left_ = std::max(0, left_ - 1);
  is_retry_ = true;
}

RetryDecision RetryPolicy::Decide(const Refusal& refusal,
                                  const CallDeadline& deadline,
                                  RetryBudget& budget, MonoTime now) {
  const bool may_run_again = refusal.verdict == Verdict::kNotRun ||
                             (refusal.verdict == Verdict::kMayHaveRun &&
                              repeatability_ == Repeatability::kIdempotent);
  if (!may_run_again || deadline.IsExpired(now) ||
      !MaySucceedElsewhere(refusal.reason)) {
    return RetryDecision::kGiveUp;
  }
  if (refusal.verdict == Verdict::kNotRun && IsRedirectable(refusal.reason) &&
      redirects_ < kMaxRedirects) {
    redirects_ += 1;
    return RetryDecision::kRedirect;
  }
  if (allowance_.left() == 0 || !budget.TryTake(refusal.verdict)) {
    return RetryDecision::kGiveUp;
  }
  allowance_.OnRetry();
  return RetryDecision::kRetry;
}

}  // namespace cumin
