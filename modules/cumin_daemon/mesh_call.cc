#include "cumin_daemon/mesh_call.h"

#include <utility>

namespace cumin {

CallOutcome FailedOutcome(Verdict verdict, RefusalReason reason,
                          std::string detail, Duration retry_after) {
  CallOutcome outcome;
  outcome.verdict = verdict;
  outcome.refusal = Refusal{verdict, reason, std::move(detail), retry_after};
  return outcome;
}

}  // namespace cumin
