#include "cuminload/resend_policy.h"

namespace cumin::load {

std::optional<std::size_t> ResendPolicy::NextEntry(
    const PlannedCall& planned, const CallOutcome& outcome) const {
  const std::size_t sent = outcome.attempts.size();
  const std::size_t entry = (planned.entry + sent) % entry_count_;
  if (sent == 0) {
    return entry;
  }
  const bool done =
      planned.key.empty() || outcome.attempts.back().end == AttemptEnd::kRan;
  if (done || sent >= attempts_) {
    return std::nullopt;
  }
  return entry;
}

}  // namespace cumin::load
