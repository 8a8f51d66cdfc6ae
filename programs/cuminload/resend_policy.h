#pragma once

#include <cstddef>
#include <optional>

#include "cuminload/arrival_schedule.h"
#include "cuminload/call_outcome.h"
#include "cuminload/scenario.h"

namespace cumin::load {

/** Decides whether a call is sent again, and through which entry.

    An at-most-once call is sent again with the same key, through the next
    entry, until an attempt is known to have run. Idempotent calls are sent
    once, so that their figures reflect the daemons alone, without caller
    resends.
*/
class ResendPolicy {
 public:
  /** @param attempts     maximum number of attempts for each call
      @param entry_count  number of entries, at least 1 */
  ResendPolicy(int attempts, std::size_t entry_count)
      : attempts_(static_cast<std::size_t>(attempts)),
        entry_count_(entry_count) {}

  /** @returns the entry of the next attempt, or nullopt when the call is
      finished */
  std::optional<std::size_t> NextEntry(const PlannedCall& planned,
                                       const CallOutcome& outcome) const;

 private:
  std::size_t attempts_;
  std::size_t entry_count_;
};

}  // namespace cumin::load
