#pragma once

#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cumin_admission/allotment_gate.h"
#include "cumin_config/customer.h"

namespace cumin {

/** By how much the requests admitted in a time window may exceed an allotment.
 */
struct AllotmentTolerance {
  Duration window{std::chrono::seconds(1)};
  /** Part of what the allotment has in the window. */
  double part = 0;
  /** Requests besides. */
  double slack = 0;

  friend bool operator==(const AllotmentTolerance& a,
                         const AllotmentTolerance& b) {
    return a.window == b.window && a.part == b.part && a.slack == b.slack;
  }
};

/** Adds up what all daemons have admitted for the customers that one daemon is
    responsible for, and gives each daemon its share.

    The state is soft: after the loss of the responsible daemon, its successor
    starts without a burst, and knows the demand after one report of each
    daemon. Not thread-safe.
*/
class AllotmentLedger {
 public:
  /** A customer counts as limited for this long after its last report. */
  static constexpr Duration kDemandLifetime = std::chrono::seconds(2);
  /** A customer is limited when its demand would use up what it has in this
      time: several reports, and the way there and back. */
  static constexpr Duration kForesight = std::chrono::milliseconds(1000);
  /** A new ledger leaves the shares as they are for this time, until it knows
     the demand. After a restart of all daemons they know one another by then,
     and agree on the responsible daemon. */
  static constexpr Duration kLearningTime = std::chrono::milliseconds(2500);
  /** Time over which the ledger spends what is left of the burst, and takes
      back what was admitted beyond the allotment. */
  static constexpr Duration kSettleTime = std::chrono::seconds(2);

  explicit AllotmentLedger(const AllotmentTolerance& tolerance)
      : tolerance_(tolerance) {}

  /** Applies a report.
      @param source    the daemon that reports
      @param customer  as configured now
      @returns the daemon's share */
  AllotmentShare OnReport(const VmId& source, const UsageReport& report,
                          const Customer& customer, MonoTime now);

  /** @returns true if the customer is above its allotment */
  bool IsLimited(const CustomerId& customer) const;

  /** @returns the shares of all daemons that have reported, for a customer that
      has just been limited: they must not wait for their next report */
  std::vector<std::pair<VmId, AllotmentShare>> SharesOf(
      const CustomerId& customer, MonoTime now) const;

  /** @returns the customers that are above their allotment, with the share of a
      daemon that has not reported
      @param daemons  number of all daemons */
  std::vector<AllotmentShare> Limited(std::size_t daemons, MonoTime now) const;

  /** Forgets customers without reports for a while. */
  void Expire(MonoTime now);

  std::size_t size() const { return customers_.size(); }

 private:
  /** Number of recent requests; earlier ones lose weight. */
  class Recent {
   public:
    /** @param time  time constant of the decay */
    void Add(int n, Duration time, MonoTime now);
    double At(Duration time, MonoTime now) const;

   private:
    double sum_ = 0;
    MonoTime updated_at_;
  };
  struct Account {
    /** Requests that may be admitted at once; negative when more were admitted
        than the allotment has. */
    double level = 0;
    MonoTime created_at;
    MonoTime updated_at;
    /** Rate that was given out last; nothing without a limit. */
    std::optional<double> limited_to_per_s;
    Recent offered;
    std::unordered_map<VmId, Recent> demands;
  };

  static void Refill(Account& account, const Customer& customer, MonoTime now);
  /** @returns the daemon's part of the customer's demand, from 0 to 1 */
  static double PartOf(const Account& account, const VmId& source,
                       MonoTime now);
  /** @returns the requests that may be admitted beyond the allotment */
  double Margin(const Customer& customer) const;

  const AllotmentTolerance tolerance_;
  std::unordered_map<CustomerId, Account> customers_;
};

}  // namespace cumin
