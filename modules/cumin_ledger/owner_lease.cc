#include "cumin_ledger/owner_lease.h"

namespace cumin {

namespace {

constexpr const char* kLeasePrefix = "ledger-lease/";

// Uniformly distributed in [0.75, 1.25) times the length.
Duration Jitter(Duration length, Random& random) {
  constexpr double kMinFactor = 0.75;
  constexpr double kSpread = 0.5;
  return std::chrono::duration_cast<Duration>(
      length * (kMinFactor + kSpread * random.Unit()));
}

}  // namespace

std::string LeaseKey(const std::string& lease) { return kLeasePrefix + lease; }

LeaseStep OwnerLease::Next(MonoTime now, Random& random) {
  if (in_flight_) {
    return LeaseStep{};
  }
  const bool is_settled = failed_ || is_key_created_;
  if (is_settled && now < next_due_) {
    return LeaseStep{};
  }
  if (lease_.empty()) {
    return StartStep(LeaseStepKind::kGrant, now, random);
  }
  if (!is_key_created_) {
    return StartStep(
        needs_key_read_ ? LeaseStepKind::kReadKey : LeaseStepKind::kCreateKey,
        now, random);
  }
  return StartStep(LeaseStepKind::kRenew, now, random);
}

LeaseStep OwnerLease::StartStep(LeaseStepKind kind, MonoTime now,
                                Random& random) {
  in_flight_ = true;
  next_due_ = now + Jitter(options_.renew_interval, random);
  return LeaseStep{kind, MakeCall(kind), now};
}

StoreCall OwnerLease::MakeCall(LeaseStepKind kind) const {
  StoreCall call;
  call.lease = lease_;
  switch (kind) {
    case LeaseStepKind::kNone:
      break;
    case LeaseStepKind::kGrant:
      call.kind = StoreCallKind::kGrantLease;
      call.length = options_.length;
      break;
    case LeaseStepKind::kCreateKey:
      call.kind = StoreCallKind::kCompareAndSwap;
      call.key = LeaseKey(lease_);
      break;
    case LeaseStepKind::kReadKey:
      call.kind = StoreCallKind::kGet;
      call.key = LeaseKey(lease_);
      break;
    case LeaseStepKind::kRenew:
      call.kind = StoreCallKind::kRenewLease;
      break;
  }
  return call;
}

void OwnerLease::OnAnswer(const LeaseStep& step,
                          const Result<StoreEntry>& answer) {
  in_flight_ = false;
  failed_ = !answer.has_value();
  switch (step.kind) {
    case LeaseStepKind::kNone:
      break;
    case LeaseStepKind::kGrant:
      OnGranted(step, answer);
      break;
    case LeaseStepKind::kCreateKey:
      OnKeyCreated(answer);
      break;
    case LeaseStepKind::kReadKey:
      OnKeyRead(answer);
      break;
    case LeaseStepKind::kRenew:
      OnRenewed(step, answer);
      break;
  }
  if (failed_) {
    // With the default options, a failed renewal is retried twice before the
    // term ends.
    next_due_ -= options_.renew_interval / 2;
  }
}

void OwnerLease::OnGranted(const LeaseStep& step,
                           const Result<StoreEntry>& answer) {
  if (!answer) {
    return;  // A lease whose ID was lost expires in the store.
  }
  lease_ = answer.value().lease;
  is_key_created_ = false;
  needs_key_read_ = false;
  Extend(step.requested_at);
}

void OwnerLease::OnKeyCreated(const Result<StoreEntry>& answer) {
  if (answer) {
    is_key_created_ = true;
    return;
  }
  // A conflict means that an earlier attempt created the key or that the lease
  // has ended; reading the key tells which.
  needs_key_read_ = true;
  if (answer.error().code == ErrorCode::kConflict) {
    failed_ = false;
  }
}

void OwnerLease::OnKeyRead(const Result<StoreEntry>& answer) {
  if (answer) {
    is_key_created_ = true;
    return;
  }
  if (answer.error().code != ErrorCode::kNotFound) {
    return;
  }
  // If a delayed attempt still creates the key, it belongs to a lease that this
  // daemon no longer uses.
  lease_.clear();
  needs_key_read_ = false;
}

void OwnerLease::OnRenewed(const LeaseStep& step,
                           const Result<StoreEntry>& answer) {
  if (answer) {
    Extend(step.requested_at);
    return;
  }
  if (answer.error().code == ErrorCode::kNotFound) {
    lease_.clear();
    is_key_created_ = false;
    failed_ = false;
  }
}

void OwnerLease::Extend(MonoTime requested_at) {
  valid_until_ = requested_at + options_.length - options_.expiry_margin;
}

LeaseTerm OwnerLease::term() const {
  return is_key_created_ ? LeaseTerm{lease_, valid_until_} : LeaseTerm{};
}

}  // namespace cumin
