#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "cumin_admission/suspect_table.h"
#include "cumin_core/time.h"

namespace cumin {

/** The calls that were sent to the target beside this daemon and that it has
    not answered: those that may have crashed it when its process ends.

    A call whose connection ended without an answer is kept for a while, because
    the end of the process may become known only later. Not thread-safe.
*/
class TargetRuns {
 public:
  using RunId = std::uint64_t;

  /** @param kept_for  how long a run without an answer is kept after its end */
  explicit TargetRuns(Duration kept_for) : kept_for_(kept_for) {}

  /** Registers a call that is about to be sent to the target. */
  RunId Begin(const InFlightRequest& request, MonoTime now);

  /** Ends a run that was answered, or that was not sent after all. */
  void EndAnswered(RunId run);

  /** Ends a run that was not answered.
      @returns false if TakeUnanswered has returned it already */
  bool EndUnanswered(RunId run, MonoTime now);

  /** Removes all runs of a process that has ended.
      @param lost_at  when the end of the process showed; runs that began later
                      are kept, since they did not reach it
      @param within   runs that ended earlier than this before `lost_at` are not
                      returned
      @returns the requests that were in flight */
  std::vector<InFlightRequest> TakeUnanswered(MonoTime lost_at,
                                              Duration within);

  /** Removes runs that have been kept for long enough. */
  void Expire(MonoTime now);

  std::size_t size() const { return runs_.size(); }

 private:
  struct Run {
    InFlightRequest request;
    MonoTime began_at;
    bool has_ended = false;
    MonoTime ended_at;
  };

  const Duration kept_for_;
  RunId next_run_ = 0;
  std::map<RunId, Run> runs_;
};

}  // namespace cumin
