#pragma once

#include "cumin_core/random.h"
#include "cumin_core/time.h"

namespace cumin {

/** Range of a RetryBackoff. */
struct BackoffSettings {
  Duration first = std::chrono::milliseconds(200);
  Duration longest = std::chrono::seconds(20);
};

/** Full-jitter exponential backoff, for joins, pulls and store calls of
    daemons that return in herds.

    Each wait is uniform between zero and a bound that doubles up to `longest`.
    Not thread-safe.
*/
class RetryBackoff {
 public:
  /** @param settings  the range */
  explicit RetryBackoff(const BackoffSettings& settings);

  /** @returns how long to wait before the next attempt */
  Duration Next(Random& random);

  /** The last attempt succeeded: start over. */
  void Reset() { bound_ = settings_.first; }

 private:
  const BackoffSettings settings_;
  Duration bound_;
};

/** Bounds how many costly requests a daemon serves at once, such as pulls of
    a configuration or of member buckets. Not thread-safe. */
class ServeLimit {
 public:
  /** @param limit  requests at once */
  explicit ServeLimit(int limit) : limit_(limit) {}

  /** @returns false when the request must be refused; the asker backs off */
  bool TryBegin();

  /** Ends a request that TryBegin let in. */
  void End() { --active_; }

 private:
  const int limit_;
  int active_ = 0;
};

}  // namespace cumin
