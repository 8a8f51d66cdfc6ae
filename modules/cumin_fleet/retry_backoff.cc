#include "cumin_fleet/retry_backoff.h"

#include <algorithm>

namespace cumin {

RetryBackoff::RetryBackoff(const BackoffSettings& settings)
    : settings_(settings), bound_(settings.first) {}

Duration RetryBackoff::Next(Random& random) {
  const Duration wait(random.Below(bound_.count() + 1));
  bound_ = std::min(bound_ * 2, settings_.longest);
  return wait;
}

bool ConcurrentRequestLimit::TryBegin() {
  if (active_ >= limit_) {
    return false;
  }
  ++active_;
  return true;
}

}  // namespace cumin
