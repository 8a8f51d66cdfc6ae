#pragma once

#include <atomic>
#include <string>
#include <vector>

#include "cumin_core/time.h"
#include "cuminload/arrival_schedule.h"
#include "cuminload/call_outcome.h"
#include "cuminload/call_sender.h"
#include "cuminload/resend_policy.h"
#include "cuminload/scenario.h"

namespace cumin::load {

/** Sends planned calls at their times from a pool of worker threads.

    Workers take the calls in order, and each outcome is written by one worker,
    so only the position in the plan needs synchronization.
*/
class LoadDriver {
 public:
  /** @param scenario  with at least one entry; outlives this object
      @param clock     outlives this object */
  LoadDriver(const Scenario& scenario, const Clock& clock);

  /** Blocks until every call has its outcome.
      @param planned  in order of PlannedCall::send_at
      @returns one outcome for each planned call, in the same order */
  std::vector<CallOutcome> Run(const std::vector<PlannedCall>& planned);

 private:
  void RunWorker(const std::vector<PlannedCall>& planned, MonoTime begin,
                 std::vector<CallOutcome>* outcomes);
  CallOutcome SendWithResends(const PlannedCall& planned, std::size_t position,
                              MonoTime due);
  std::string RequestId(const PlannedCall& planned, std::size_t position,
                        std::size_t attempt) const;

  const Scenario& scenario_;
  const Clock& clock_;
  ResendPolicy policy_;
  CallSender sender_;
  std::atomic<std::size_t> next_{0};
};

}  // namespace cumin::load
