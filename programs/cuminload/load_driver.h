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

/** Sends planned calls at their times from a pool of threads.

    Threads take the calls in the order of their times and do not share an
    outcome, so nothing but the position in the plan needs synchronising.
*/
class LoadDriver {
 public:
  /** @param scenario  with at least one entry; outlives this
      @param clock     outlives this */
  LoadDriver(const Scenario& scenario, const Clock& clock);

  /** Blocks until every call has its outcome.
      @param planned  in the order of their times
      @returns one outcome for each planned call, in that order */
  std::vector<CallOutcome> Run(const std::vector<PlannedCall>& planned);

 private:
  void Work(const std::vector<PlannedCall>& planned, MonoTime begin,
            std::vector<CallOutcome>* outcomes);
  CallOutcome Carry(const PlannedCall& planned, std::size_t position,
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
