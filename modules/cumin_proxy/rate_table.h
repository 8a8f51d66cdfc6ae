#pragma once

#include <mutex>
#include <optional>
#include <vector>

#include "cumin_admission/rate_limiter.h"

namespace cumin {

/** The customers' rates at this daemon's ingress. Thread-safe. */
class RateTable {
 public:
  /** @see RateLimiter::Check */
  std::optional<Refusal> Check(const Contract& contract, MonoTime now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return limiter_.Check(contract, now);
  }

  /** @see RateLimiter::TakeReports */
  std::vector<DemandReport> TakeReports(const VmId& self, MonoTime now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return limiter_.TakeReports(self, now);
  }

  /** @see RateLimiter::OnReport */
  void OnReport(const DemandReport& report, MonoTime now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    limiter_.OnReport(report, now);
  }

 private:
  std::mutex mutex_;
  RateLimiter limiter_;
};

}  // namespace cumin
