#pragma once

#include <string>

#include "cumin_core/error.h"
#include "cumin_core/random.h"
#include "cumin_core/time.h"
#include "cumin_store/store_call.h"

namespace cumin {

/** Times of a daemon's lease. */
struct LeaseOptions {
  /** How long the store keeps the lease after its last renewal. */
  Duration length{std::chrono::seconds(30)};
  /** How often it is renewed. */
  Duration renew_interval{std::chrono::seconds(10)};
  /** How much earlier than the store the holder takes it as ended, to allow for
      clocks that run at different rates. */
  Duration expiry_margin{std::chrono::seconds(1)};
};

/** The lease as work is checked against it. */
struct LeaseTerm {
  /** The store's name of the lease; empty when none is held. */
  std::string lease;
  /** The lease is surely held before this time. */
  MonoTime valid_until{};

  /** @returns whether the lease is surely held */
  bool IsValid(MonoTime now) const {
    return !lease.empty() && now < valid_until;
  }
};

/** What a LeaseStep does for the lease. */
enum class LeaseStepKind {
  kNone,
  /** Obtains a lease. */
  kGrant,
  /** Creates LeaseKey(lease) under the lease. */
  kAnnounce,
  /** Reads LeaseKey(lease), after an announcement that may have failed. */
  kConfirm,
  kRenew,
};

/** One store call to make for the daemon's lease. */
struct LeaseStep {
  LeaseStepKind kind = LeaseStepKind::kNone;
  StoreCall call;
  /** When the call was asked for, which is before it is sent. */
  MonoTime asked_at{};
};

/** @returns the store key that exists as long as the lease does */
std::string LeaseKey(const std::string& lease);

/** Keeps the one lease that covers every shard of a daemon.

    The holder counts the lease from before it sends a renewal and the store
    from when it receives it, so the holder's time always ends first. While the
    lease exists, so does the key LeaseKey(lease); other daemons take its
    absence as the lease's end. A renewal that succeeds after the holder's time
    ran out revives the term, because the store never let the lease end.
*/
class OwnerLease {
 public:
  /** @param options  the lease's times */
  explicit OwnerLease(const LeaseOptions& options) : options_(options) {}

  /** @param now     the time
      @param random  spreads the calls of daemons that started together
      @returns the store call to make now; kNone when none is due or one is
      under way */
  LeaseStep Next(MonoTime now, Random& random);

  /** Takes in a store call's result.
      @param step    the call, as Next() returned it
      @param answer  what ExecuteStoreCall() returned */
  void OnAnswer(const LeaseStep& step, const Result<StoreEntry>& answer);

  /** @returns the lease that work may be checked against */
  LeaseTerm term() const;

 private:
  void OnGranted(const LeaseStep& step, const Result<StoreEntry>& answer);
  void OnAnnounced(const Result<StoreEntry>& answer);
  void OnConfirmed(const Result<StoreEntry>& answer);
  void OnRenewed(const LeaseStep& step, const Result<StoreEntry>& answer);
  void Extend(MonoTime asked_at);
  StoreCall MakeCall(LeaseStepKind kind) const;
  LeaseStep Ask(LeaseStepKind kind, MonoTime now, Random& random);

  LeaseOptions options_;
  std::string lease_;
  bool announced_ = false;
  bool needs_confirming_ = false;
  bool in_flight_ = false;
  bool failed_ = false;
  MonoTime valid_until_{};
  MonoTime next_due_{};
};

}  // namespace cumin
