#include "cumin_routing/retry_budget.h"

#include <algorithm>

namespace cumin {

namespace {

constexpr double kRetriesPerCall = 0.1;
constexpr double kNotRunCost = 1;
constexpr double kMayHaveRunCost = 5;

}  // namespace

void RetryBudget::OnCall(double max_retries) {
  max_retries_ = max_retries;
  retries_ = std::min(max_retries_, retries_ + kRetriesPerCall);
}

bool RetryBudget::TryTake(Verdict verdict) {
  const double cost =
      verdict == Verdict::kNotRun ? kNotRunCost : kMayHaveRunCost;
  if (retries_ < std::min(cost, max_retries_)) {
    return false;
  }
  retries_ -= cost;
  return true;
}

}  // namespace cumin
