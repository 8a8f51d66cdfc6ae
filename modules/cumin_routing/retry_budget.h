#pragma once

#include "cumin_core/verdict.h"

namespace cumin {

/** Token bucket that limits the retries of one service to a fraction of its
    calls.

    Each call adds a tenth of a retry, up to a limit. Retrying a call that did
    not run costs one; retrying one that may have run costs several, because
    its target may already have called other services, whose work is then
    repeated at every level below.
*/
class RetryBudget {
 public:
  /** Credits the budget for one call. Not to be called for its retries. */
  void OnCall();

  /** Charges the budget for one retry.
      @param verdict  outcome of the previous attempt
      @returns false when the budget is exhausted */
  bool TryTake(Verdict verdict);

  /** @returns the number of retries currently available */
  double left() const { return retries_; }

 private:
  double retries_ = 5;
};

}  // namespace cumin
