#pragma once

#include <unordered_map>

#include "cumin_config/contract.h"
#include "cumin_core/time.h"

namespace cumin {

/** A customer's demand at one daemon, as reported to peers. */
struct DemandReport {
  /** The reporting daemon, or one that aggregates the demand of several. */
  VmId source;
  CustomerId customer;
  /** Calls offered per second, whether admitted or not. */
  double demand_per_s = 0;

  friend bool operator==(const DemandReport& a, const DemandReport& b) {
    return a.source == b.source && a.customer == b.customer &&
           a.demand_per_s == b.demand_per_s;
  }
};

/** Parameters of RateShare. */
struct RateSharePolicy {
  /** Interval between a daemon's reports. */
  Duration report_interval{std::chrono::seconds(1)};
  /** Reports expire after this time unless renewed. */
  Duration report_max_age{std::chrono::seconds(5)};
  /** Fraction, 0 to 1, of a growth in demand that counts before peers can have
      received the report of it. */
  double early_fraction = 0.25;
  friend bool operator==(const RateSharePolicy& a, const RateSharePolicy& b) {
    return a.report_interval == b.report_interval &&
           a.report_max_age == b.report_max_age &&
           a.early_fraction == b.early_fraction;
  }
};

/** This daemon's share of a customer's fleet-wide rate.

    Daemons report the demand offered to them, and each computes its share in
    proportion. A growth in demand counts only partially until peers have had
    one report interval to receive it, which bounds the overshoot when traffic
    shifts to another daemon. The reports of peers that crash or stop reporting
    expire.
*/
class RateShare {
 public:
  explicit RateShare(const RateSharePolicy& policy) : policy_(policy) {}

  /** Counts one offered call. */
  void OnArrival(MonoTime now);

  /** Creates the report of this interval; must be called once per interval.
      @returns the demand in calls per second, for a DemandReport */
  double TakeReport(MonoTime now);

  /** Applies the reported demand of another daemon. */
  void OnReport(const VmId& source, double demand_per_s, MonoTime now);

  /** @param rate_per_s  the customer's fleet-wide rate
      @returns the calls per second that this daemon may admit */
  double RatePerS(double rate_per_s, MonoTime now) const;

 private:
  struct PeerDemand {
    double demand_per_s = 0;
    MonoTime received_at;
  };

  double Demand(MonoTime now) const;
  double PeerDemandSum(MonoTime now) const;
  double KnownDemand(MonoTime now) const;

  RateSharePolicy policy_;
  double demand_per_s_ = 0;
  MonoTime demand_at_;
  double reported_per_s_ = 0;
  MonoTime reported_at_;
  double known_per_s_ = 0;
  std::unordered_map<VmId, PeerDemand> peers_;
};

}  // namespace cumin
