#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "cumin_admission/rate_share.h"
#include "cumin_admission/token_bucket.h"
#include "cumin_core/verdict.h"

namespace cumin {

/** Holds every customer to its contract's rate at the daemon where its calls
    arrive, with the fleet-wide rate split by demand. */
class RateLimiter {
 public:
  /** @param policy  how rates are split over daemons */
  explicit RateLimiter(const RateSharePolicy& policy = {}) : policy_(policy) {}

  /** Counts one offered call and decides whether it may pass.
      @returns nothing when it may; else a NotRun refusal with the time to the
      next token */
  std::optional<Refusal> Check(const Contract& contract, MonoTime now);

  /** Makes this interval's reports; call it once each report interval.
      @param self  this daemon
      @returns one report for each customer whose demand changed enough or was
      not reported for a while */
  std::vector<DemandReport> TakeReports(const VmId& self, MonoTime now);

  /** Takes in a peer's report. */
  void OnReport(const DemandReport& report, MonoTime now);

 private:
  /** A new bucket is full; its first rate cuts it to the burst. */
  static constexpr double kUnlimitedBurst = 1e9;

  struct CustomerRate {
    explicit CustomerRate(const RateSharePolicy& policy, MonoTime now)
        : share(policy), bucket(0, kUnlimitedBurst, now) {}

    RateShare share;
    TokenBucket bucket;
    /** When the bucket's rate was computed, and from which contract. */
    MonoTime updated_at;
    double contract_rate_per_s = -1;
    /** What peers were last told, and when. */
    double told_per_s = 0;
    MonoTime told_at;
  };

  CustomerRate& RateOf(const CustomerId& customer, MonoTime now);

  RateSharePolicy policy_;
  std::unordered_map<CustomerId, CustomerRate> customers_;
};

}  // namespace cumin
