#pragma once

#include <string>

#include "cumin_core/error.h"
#include "cumin_core/random.h"
#include "cumin_core/time.h"
#include "cumin_store/store_call.h"

namespace cumin {

/** Duration and renewal times of a daemon's lease. */
struct LeaseOptions {
  /** Time to live of the lease after its last renewal. */
  Duration length{std::chrono::seconds(30)};
  Duration renew_interval{std::chrono::seconds(10)};
  /** How much earlier than the store the holder considers the lease expired, to
      allow for clocks that run at different rates. */
  Duration expiry_margin{std::chrono::seconds(1)};
};

/** The validity of a lease as the holder sees it. */
struct LeaseTerm {
  /** The lease's ID in the store; empty when none is held. */
  std::string lease;
  /** The lease is guaranteed to be held before this time. */
  MonoTime valid_until{};

  /** @returns whether the lease is guaranteed to be held */
  bool IsValid(MonoTime now) const {
    return !lease.empty() && now < valid_until;
  }
};

/** The operation of a LeaseStep. */
enum class LeaseStepKind {
  kNone,
  kGrant,
  /** Creates LeaseKey(lease) under the lease. */
  kCreateKey,
  /** Reads LeaseKey(lease), after a kCreateKey that may have failed. */
  kReadKey,
  kRenew,
};

/** One store call of the lease protocol. */
struct LeaseStep {
  LeaseStepKind kind = LeaseStepKind::kNone;
  StoreCall call;
  /** When Next() returned the call, which is before it is sent. */
  MonoTime requested_at{};
};

/** @returns the store key that exists as long as the lease does */
std::string LeaseKey(const std::string& lease);

/** Obtains and renews the one lease that covers every shard of a daemon.

    The holder measures the lease's duration from before it sends a renewal, the
    store from when it receives it, so the lease always expires at the holder
    first. The key LeaseKey(lease) exists as long as the lease; other daemons
    take its absence as proof that the lease has ended. A renewal that succeeds
    after the lease expired at the holder makes the term valid again, because
    the lease never ended in the store.
*/
class OwnerLease {
 public:
  explicit OwnerLease(const LeaseOptions& options) : options_(options) {}

  /** Returns the next store call to make.
      @param now     the time
      @param random  jitter for the calls of daemons that started together
      @returns the call; kNone when none is due or one is in progress */
  LeaseStep Next(MonoTime now, Random& random);

  /** Processes the result of a store call.
      @param step    the call, as Next() returned it
      @param answer  the result of ExecuteStoreCall() */
  void OnAnswer(const LeaseStep& step, const Result<StoreEntry>& answer);

  /** @returns the current lease; empty until its key is known to exist */
  LeaseTerm term() const;

 private:
  void OnGranted(const LeaseStep& step, const Result<StoreEntry>& answer);
  void OnKeyCreated(const Result<StoreEntry>& answer);
  void OnKeyRead(const Result<StoreEntry>& answer);
  void OnRenewed(const LeaseStep& step, const Result<StoreEntry>& answer);
  void Extend(MonoTime requested_at);
  StoreCall MakeCall(LeaseStepKind kind) const;
  LeaseStep StartStep(LeaseStepKind kind, MonoTime now, Random& random);

  LeaseOptions options_;
  std::string lease_;
  bool is_key_created_ = false;
  bool needs_key_read_ = false;
  bool in_flight_ = false;
  bool failed_ = false;
  MonoTime valid_until_{};
  MonoTime next_due_{};
};

}  // namespace cumin
