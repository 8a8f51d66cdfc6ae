#pragma once

#include "cumin_core/verdict.h"

namespace cumin {

/** Token bucket that limits the retries of one service to a fraction of its
    calls.

    Each call adds a tenth of a retry, up to a limit. Retrying a call that did
    not run costs one; retrying one that may have run costs several, because
    its target may already have called other services, whose work is then
    repeated at every level below. A budget whose limit is lower than that cost
    allows such a retry when it is full, and is in debt afterwards.

    Every daemon has a budget of its own. Their limits add up to what the fleet
    may retry at once, so each daemon's limit is its share of that.
*/
class RetryBudget {
 public:
  static constexpr double kDefaultMaxRetries = 10;

  /** Credits the budget for one call. Not to be called for its retries.
      @param max_retries  the limit, which may change with the size of the
                          fleet */
  void OnCall(double max_retries = kDefaultMaxRetries);

  /** Charges the budget for one retry.
      @param verdict  outcome of the previous attempt
      @returns false when the budget is exhausted */
  bool TryTake(Verdict verdict);

  /** @returns the number of retries currently available; negative in debt */
  double left() const { return retries_; }

 private:
  double retries_ = 5;
  double max_retries_ = kDefaultMaxRetries;
};

}  // namespace cumin
