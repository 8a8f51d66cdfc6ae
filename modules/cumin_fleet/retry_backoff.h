#pragma once

#include "cumin_core/random.h"
#include "cumin_core/time.h"

namespace cumin {

/** Range of the bound of a RetryBackoff. */
struct BackoffSettings {
  Duration first = std::chrono::milliseconds(200);
  Duration longest = std::chrono::seconds(20);
};

/** Exponential backoff with full jitter for joins, pulls and store calls, which
    many daemons may retry at the same time (thundering herd).

    Each delay is uniform between zero and a bound that doubles up to `longest`.
    Not thread-safe.
*/
class RetryBackoff {
 public:
  explicit RetryBackoff(const BackoffSettings& settings);

  /** @returns the delay before the next attempt */
  Duration Next(Random& random);

  /** Resets the bound after a successful attempt. */
  void Reset() { bound_ = settings_.first; }

 private:
  const BackoffSettings settings_;
  Duration bound_;
};

/** Limits the number of expensive requests that a daemon serves concurrently,
    such as pulls of a configuration or of member buckets. Not thread-safe. */
class ConcurrentRequestLimit {
 public:
  /** @param limit  maximum number of concurrent requests */
  explicit ConcurrentRequestLimit(int limit) : limit_(limit) {}

  /** @returns false when the request must be refused; the requester backs off
   */
  bool TryBegin();

  /** Ends a request admitted by TryBegin. */
  void End() { --active_; }

 private:
  const int limit_;
  int active_ = 0;
};

}  // namespace cumin
