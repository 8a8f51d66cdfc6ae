#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "cumin_admission/rate_share.h"
#include "cumin_admission/token_bucket.h"
#include "cumin_core/verdict.h"

namespace cumin {

/** Enforces every customer's contract rate at the daemon where the calls
    arrive. The fleet-wide rate is split over daemons in proportion to
    demand. */
class RateLimiter {
 public:
  explicit RateLimiter(const RateSharePolicy& policy = {}) : policy_(policy) {}

  /** Counts one offered call and decides whether it may pass.
      @returns empty if it may; otherwise a NotRun refusal with the time to the
      next token */
  std::optional<Refusal> Check(const Contract& contract, MonoTime now);

  /** Creates the demand reports of this interval; must be called once per
      report interval.
      @param self  this daemon
      @returns one report for each customer whose demand has changed noticeably
      or whose last report is about to expire */
  std::vector<DemandReport> TakeReports(const VmId& self, MonoTime now);

  /** Applies a peer's report. */
  void OnReport(const DemandReport& report, MonoTime now);

 private:
  /** Capacity of a new bucket, which is full; the first SetRate reduces it to
      the actual burst. */
  static constexpr double kUnlimitedBurst = 1e9;

  struct CustomerRate {
    explicit CustomerRate(const RateSharePolicy& policy, MonoTime now)
        : share(policy), bucket(0, kUnlimitedBurst, now) {}

    RateShare share;
    TokenBucket bucket;
    /** When the bucket's rate was last computed, and from which contract
        rate. */
    MonoTime updated_at;
    double contract_rate_per_s = -1;
    /** The demand last reported to peers, and when. */
    double last_reported_per_s = 0;
    MonoTime last_reported_at;
  };

  CustomerRate& RateOf(const CustomerId& customer, MonoTime now);

  RateSharePolicy policy_;
  std::unordered_map<CustomerId, CustomerRate> customers_;
};

}  // namespace cumin
