#include "cumin_routing/retry_budget.h"

#include <algorithm>

namespace cumin {

namespace {

constexpr double kRetriesPerCall = 0.1;
constexpr double kMaxRetries = 10;
constexpr double kNotRunCost = 1;
constexpr double kMayHaveRunCost = 5;

}  // namespace

void RetryBudget::OnCall() {
  retries_ = std::min(kMaxRetries, retries_ + kRetriesPerCall);
}

bool RetryBudget::TryTake(Verdict verdict) {
  const double cost =
      verdict == Verdict::kNotRun ? kNotRunCost : kMayHaveRunCost;
  if (retries_ < cost) {
    return false;
  }
  retries_ -= cost;
  return true;
}

}  // namespace cumin
