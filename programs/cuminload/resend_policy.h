#pragma once

#include <cstddef>
#include <optional>

#include "cuminload/arrival_schedule.h"
#include "cuminload/call_outcome.h"
#include "cuminload/scenario.h"

namespace cumin::load {

/** Decides whether a caller sends a call again, and through which entry.

    A caller that wants its order done sends it again with the same key
    whenever it was not told that it ran, each time through the next entry.
    Idempotent calls are sent once, so that their figures are those of the
    daemons alone.
*/
class ResendPolicy {
 public:
  /** @param attempts     how often a call is sent at most
      @param entry_count  at least 1 */
  ResendPolicy(int attempts, std::size_t entry_count)
      : attempts_(static_cast<std::size_t>(attempts)),
        entry_count_(entry_count) {}

  /** @returns the entry of the next attempt, or nothing when the call is done
   */
  std::optional<std::size_t> NextEntry(const PlannedCall& planned,
                                       const CallOutcome& outcome) const;

 private:
  std::size_t attempts_;
  std::size_t entry_count_;
};

}  // namespace cumin::load
