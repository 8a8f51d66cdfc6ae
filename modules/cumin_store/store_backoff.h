#pragma once

#include "cumin_core/random.h"
#include "cumin_core/time.h"

namespace cumin {

/** Limits of a StoreBackoff. */
struct StoreBackoffOptions {
  /** The longest wait after the first failure. */
  Duration first{std::chrono::milliseconds(200)};
  /** The longest wait after any number of failures. */
  Duration cap{std::chrono::seconds(15)};
};

/** Decides when the store may be called again after failures.

    Exponential backoff with full jitter: the wait is uniform between zero and
    a limit that doubles with each failure, so daemons that lost the store at
    one moment do not return to it together. Not thread-safe.
*/
class StoreBackoff {
 public:
  explicit StoreBackoff(const StoreBackoffOptions& options = {})
      : options_(options) {}

  /** Notes a failed call and draws the next wait.
      @param now     when it failed
      @param random  draws the wait */
  void OnFailure(MonoTime now, Random& random);

  /** Notes a call that succeeded; the next failure starts from the first
      wait. */
  void OnSuccess();

  /** @returns true when the store may be called */
  bool MayCall(MonoTime now) const { return now >= next_call_at_; }

  /** @returns the earliest time of the next call */
  MonoTime next_call_at() const { return next_call_at_; }

  /** @returns how many calls failed since the last success */
  int failures() const { return failures_; }

 private:
  StoreBackoffOptions options_;
  int failures_ = 0;
  MonoTime next_call_at_{};
};

}  // namespace cumin
