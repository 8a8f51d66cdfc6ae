#pragma once

#include "cumin_core/verdict.h"

namespace cumin {

/** Holds the retries of one service to a part of its calls.

    Each call adds a tenth of a retry, up to a limit. A retry of a call that
    did not run takes one; a retry of one that may have run takes several,
    because its target may have called other services already, whose work is
    then repeated at every depth below.
*/
class RetryBudget {
 public:
  /** Counts one call, not its retries. */
  void OnCall();

  /** Takes one retry.
      @param verdict  how the try before it ended
      @returns false when the budget is used up */
  bool TryTake(Verdict verdict);

  /** @returns retries that may be made now */
  double left() const { return retries_; }

 private:
  double retries_ = 5;
};

}  // namespace cumin
