#include "cumin_admission/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace cumin {

namespace {

/** Interval at which a bucket's rate is recomputed. */
constexpr Duration kRateRefreshInterval = std::chrono::milliseconds(100);
/** Minimum relative change of demand that is reported before a report is due.
 */
constexpr double kMinReportedChange = 0.1;
/** Demand below this is treated as zero. */
constexpr double kMinDemandPerS = 0.05;

}  // namespace

std::optional<Refusal> RateLimiter::Check(const Contract& contract,
                                          MonoTime now) {
  CustomerRate& rate = RateOf(contract.customer, now);
  rate.share.OnArrival(now);
  if (now - rate.updated_at >= kRateRefreshInterval ||
      rate.contract_rate_per_s != contract.rate_per_s) {
    const double part = rate.share.RatePerS(contract.rate_per_s, now);
    const double burst = contract.burst * part / contract.rate_per_s;
    rate.bucket.SetRate(part, std::max(1.0, burst), now);
    rate.updated_at = now;
    rate.contract_rate_per_s = contract.rate_per_s;
  }
  if (rate.bucket.TryTake(now)) {
    return std::nullopt;
  }
  return Refusal{Verdict::kNotRun, RefusalReason::kRateLimited,
                 "the customer's rate limit at this daemon is exceeded",
                 rate.bucket.TimeToToken(now)};
}

std::vector<DemandReport> RateLimiter::TakeReports(const VmId& self,
                                                   MonoTime now) {
  std::vector<DemandReport> reports;
  for (auto& [customer, rate] : customers_) {
    const double demand = rate.share.TakeReport(now);
    const bool reported_none = rate.last_reported_per_s < kMinDemandPerS;
    if (demand < kMinDemandPerS && reported_none) {
      continue;
    }
    const double change = std::abs(demand - rate.last_reported_per_s);
    // Two reports per report lifetime, so that one may be lost.
    const bool is_due =
        now - rate.last_reported_at >= policy_.report_max_age / 2;
    if (is_due || change > kMinReportedChange * rate.last_reported_per_s) {
      reports.push_back(DemandReport{self, customer, demand});
      rate.last_reported_per_s = demand;
      rate.last_reported_at = now;
    }
  }
  return reports;
}

void RateLimiter::OnReport(const DemandReport& report, MonoTime now) {
  RateOf(report.customer, now)
      .share.OnReport(report.source, report.demand_per_s, now);
}

RateLimiter::CustomerRate& RateLimiter::RateOf(const CustomerId& customer,
                                               MonoTime now) {
  return customers_.try_emplace(customer, policy_, now).first->second;
}

}  // namespace cumin
