#pragma once

#include "cumin_core/time.h"

namespace cumin {

/** Circuit breaker for one target, as seen from this daemon.

    Consecutive failures exclude the target from selection for a time that
    doubles up to a limit; then single trial calls are let through.
*/
class TargetHealth {
 public:
  /** Records a call that failed because of the target or the network. */
  void OnFailure(MonoTime now);

  /** Records that the target's daemon could not be reached, or belongs to
      another VM. The target is avoided immediately. */
  void OnUnreachable(MonoTime now);

  /** Records a response from the target's daemon; a refusal counts too. */
  void OnSuccess();

  /** Records that a call was sent. While the target is failing, this excludes
      it again for the interval between trial calls. */
  void OnSent(MonoTime now);

  /** @returns true when a call may be sent to the target */
  bool IsUsable(MonoTime now) const;

 private:
  int failures_ = 0;
  MonoTime avoid_until_;
};

}  // namespace cumin
