#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "cumin_admission/token_bucket.h"
#include "cumin_config/customer.h"
#include "cumin_core/verdict.h"

namespace cumin {

/** What a daemon has admitted for one customer since its last report. */
struct UsageReport {
  CustomerId customer;
  /** Requests that arrived, and those of them that were admitted and not
      refused later. */
  int offered = 0;
  int admitted = 0;
  /** AllotmentShare::level of the last share, for a ledger that takes over. */
  double level = 0;

  friend bool operator==(const UsageReport& a, const UsageReport& b) {
    return a.customer == b.customer && a.offered == b.offered &&
           a.admitted == b.admitted && a.level == b.level;
  }
};

/** A daemon's share of a customer's allotment. */
struct AllotmentShare {
  CustomerId customer;
  /** Requests per second that the daemon may admit; nothing while the customer
      stays below its allotment. */
  std::optional<double> rate_per_s;
  /** The daemon's part of the customer's demand, from 0 to 1. */
  double demand_part = 0;
  /** Requests that the ledger may still admit beyond the rate; negative when it
      has to take back. */
  double level = 0;
  /** The ledger does not know enough yet; the daemon goes on as before. */
  bool is_unchanged = false;

  friend bool operator==(const AllotmentShare& a, const AllotmentShare& b) {
    return a.customer == b.customer && a.rate_per_s == b.rate_per_s &&
           a.is_unchanged == b.is_unchanged && a.demand_part == b.demand_part &&
           a.level == b.level;
  }
};

/** Enforces the customers' allotments at the daemon where the requests arrive.

    Requests are admitted first and reported afterwards to the customer's
    AllotmentLedger, on one of the daemons. While the customer stays below its
    allotment, the ledger sets no limit, so that a request of a customer with
   few of them waits for no message; when it is above, the ledger gives each
   daemon a share by its demand. What was admitted before the ledger knew of it,
   it takes from the shares afterwards. Each daemon also holds the customer to
   its whole allotment by itself.

    Without contact to the ledger, a daemon keeps to the last share it was given
    or, if it was given none, to its part of the demand.

    Answers the load "one of many customers of very different size sends many
    times its usual". Not thread-safe.
*/
class AllotmentGate {
 public:
  /** Between two reports of a customer whose demand is steady. */
  static constexpr Duration kReportInterval = std::chrono::seconds(1);
  /** Between two reports of a customer whose demand has risen. */
  static constexpr Duration kEarlyReportInterval =
      std::chrono::milliseconds(100);
  /** Time without an answer of the ledger after which it counts as out of
      reach. */
  static constexpr Duration kContactTimeout = std::chrono::seconds(2);

  /** Decides on one request. Until the ledger has answered for the customer,
     the daemon keeps to an equal share of all daemons.
      @param daemons  number of daemons of the fleet
      @returns nothing if it is admitted; otherwise a NotRun refusal with the
      time after which the customer has room again */
  std::optional<Refusal> Admit(const Customer& customer, std::size_t daemons,
                               MonoTime now);

  /** An admitted request was refused later and did not run. */
  void Refund(const CustomerId& customer);

  /** @returns the reports that are due */
  std::vector<UsageReport> TakeReports(MonoTime now);

  /** Applies a share that the ledger has given, also without a report.
      @param customer  as configured now */
  void OnShare(const AllotmentShare& share, const Customer& customer,
               std::size_t daemons, MonoTime now);

  /** A share applies for this long, unless the ledger is out of reach. */
  static constexpr Duration kShareLifetime = std::chrono::seconds(2);

  /** Forgets customers without requests for a while. */
  void Expire(MonoTime now);

  std::size_t size() const { return customers_.size(); }

 private:
  struct Usage {
    Usage(const Customer& customer, std::size_t daemons, MonoTime now);

    /** The whole allotment. */
    TokenBucket whole;
    /** This daemon's share; used while `share_per_s` is set. */
    TokenBucket own;
    std::optional<double> share_per_s;
    MonoTime share_at;
    double rate_per_s;
    double burst;
    double demand_part = 0;
    double level = 0;
    int offered = 0;
    int admitted = 0;
    /** Requests per second in the last report. */
    double reported_per_s = 0;
    /** The ledger has answered. */
    bool has_answer = false;
    MonoTime reported_at;
    /** When the oldest report without an answer was made. */
    std::optional<MonoTime> unanswered_since;
  };

  Usage& UsageOf(const Customer& customer, std::size_t daemons, MonoTime now);
  static void SetShare(Usage& usage, std::optional<double> per_s, MonoTime now);
  static bool IsReportDue(const Usage& usage, MonoTime now);

  std::unordered_map<CustomerId, Usage> customers_;
};

}  // namespace cumin
