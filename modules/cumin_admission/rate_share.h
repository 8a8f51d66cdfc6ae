#pragma once

#include <unordered_map>

#include "cumin_config/contract.h"
#include "cumin_core/time.h"

namespace cumin {

/** What one daemon tells its peers of a customer's traffic. */
struct DemandReport {
  /** The daemon, or one that adds up the demand of several. */
  VmId source;
  CustomerId customer;
  /** Calls offered each second, whether they passed or not. */
  double demand_per_s = 0;

  friend bool operator==(const DemandReport& a, const DemandReport& b) {
    return a.source == b.source && a.customer == b.customer &&
           a.demand_per_s == b.demand_per_s;
  }
};

/** How the customer's rate is split; see RateShare. */
struct RateSharePolicy {
  /** Time between a daemon's reports. */
  Duration report_interval{std::chrono::seconds(1)};
  /** A report that was not renewed for so long no longer counts. */
  Duration report_max_age{std::chrono::seconds(5)};
  /** Part of newly grown demand that counts before peers can know, from 0 to
      1. */
  double early_fraction = 0.25;
  friend bool operator==(const RateSharePolicy& a, const RateSharePolicy& b) {
    return a.report_interval == b.report_interval &&
           a.report_max_age == b.report_max_age &&
           a.early_fraction == b.early_fraction;
  }
};

/** This daemon's part of one customer's fleet-wide rate.

    Daemons report what they are offered, and each computes its part in
    proportion. Demand that has grown counts in part until peers had one report
    interval to hear of it, which bounds the overshoot when traffic shifts to
    another daemon. Peers that die or fall silent age out.
*/
class RateShare {
 public:
  /** @param policy  how the rate is split */
  explicit RateShare(const RateSharePolicy& policy) : policy_(policy) {}

  /** Counts one offered call. */
  void OnArrival(MonoTime now);

  /** Makes the report for this interval; call it once each interval.
      @returns the demand per second, for a DemandReport */
  double TakeReport(MonoTime now);

  /** Takes in the demand of another daemon. */
  void OnReport(const VmId& source, double demand_per_s, MonoTime now);

  /** @param rate_per_s  the customer's rate over the whole fleet
      @param now         the time
      @returns the calls per second that this daemon may let pass */
  double RatePerS(double rate_per_s, MonoTime now) const;

 private:
  struct PeerDemand {
    double demand_per_s = 0;
    MonoTime heard_at;
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
