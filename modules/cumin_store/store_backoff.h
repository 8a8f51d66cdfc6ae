#pragma once

#include "cumin_core/random.h"
#include "cumin_core/time.h"

namespace cumin {

struct StoreBackoffOptions {
  /** Maximum wait after the first failure. */
  Duration first{std::chrono::milliseconds(200)};
  /** Maximum wait after any number of failures. */
  Duration cap{std::chrono::seconds(15)};
};

/** Exponential backoff with full jitter for calls to the store.

    The wait is uniformly distributed between zero and a limit that doubles with
    each failure, so that daemons that lost the store at the same time don't
    retry simultaneously. Not thread-safe.
*/
class StoreBackoff {
 public:
  explicit StoreBackoff(const StoreBackoffOptions& options = {})
      : options_(options) {}

  /** Records a failed call and chooses the next wait.
      @param now     when the call failed
      @param random  source of the jitter */
  void OnFailure(MonoTime now, Random& random);

  /** Records a successful call and resets the backoff. */
  void OnSuccess();

  bool MayCall(MonoTime now) const { return now >= next_call_at_; }

  /** @returns the earliest time of the next call */
  MonoTime next_call_at() const { return next_call_at_; }

  /** @returns the number of failures since the last success */
  int failures() const { return failures_; }

 private:
  StoreBackoffOptions options_;
  int failures_ = 0;
  MonoTime next_call_at_{};
};

}  // namespace cumin
