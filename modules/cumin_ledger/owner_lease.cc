#include "cumin_ledger/owner_lease.h"

namespace cumin {

namespace {

constexpr const char* kLeasePrefix = "ledger-lease/";

// Uniform in [0.75, 1.25) of the length.
Duration Jitter(Duration length, Random& random) {
  constexpr double kLeast = 0.75;
  constexpr double kSpread = 0.5;
  return std::chrono::duration_cast<Duration>(
      length * (kLeast + kSpread * random.Unit()));
}

}  // namespace

std::string LeaseKey(const std::string& lease) { return kLeasePrefix + lease; }

LeaseStep OwnerLease::Next(MonoTime now, Random& random) {
  if (in_flight_) {
    return LeaseStep{};
  }
  const bool is_settled = failed_ || announced_;
  if (is_settled && now < next_due_) {
    return LeaseStep{};
  }
  if (lease_.empty()) {
    return Ask(LeaseStepKind::kGrant, now, random);
  }
  if (!announced_) {
    return Ask(
        needs_confirming_ ? LeaseStepKind::kConfirm : LeaseStepKind::kAnnounce,
        now, random);
  }
  return Ask(LeaseStepKind::kRenew, now, random);
}

LeaseStep OwnerLease::Ask(LeaseStepKind kind, MonoTime now, Random& random) {
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
    case LeaseStepKind::kAnnounce:
      call.kind = StoreCallKind::kCompareAndSwap;
      call.key = LeaseKey(lease_);
      break;
    case LeaseStepKind::kConfirm:
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
    case LeaseStepKind::kAnnounce:
      OnAnnounced(answer);
      break;
    case LeaseStepKind::kConfirm:
      OnConfirmed(answer);
      break;
    case LeaseStepKind::kRenew:
      OnRenewed(step, answer);
      break;
  }
  if (failed_) {
    // A renewal has two more tries before the term ends at the default times.
    next_due_ -= options_.renew_interval / 2;
  }
}

void OwnerLease::OnGranted(const LeaseStep& step,
                           const Result<StoreEntry>& answer) {
  if (!answer) {
    return;  // A lease whose name was lost ends by itself.
  }
  lease_ = answer.value().lease;
  announced_ = false;
  needs_confirming_ = false;
  Extend(step.asked_at);
}

void OwnerLease::OnAnnounced(const Result<StoreEntry>& answer) {
  if (answer) {
    announced_ = true;
    return;
  }
  // A conflict says that an earlier announcement took effect or that the lease
  // has ended; reading the key tells which.
  needs_confirming_ = true;
  if (answer.error().code == ErrorCode::kConflict) {
    failed_ = false;
  }
}

void OwnerLease::OnConfirmed(const Result<StoreEntry>& answer) {
  if (answer) {
    announced_ = true;
    return;
  }
  if (answer.error().code != ErrorCode::kNotFound) {
    return;
  }
  // An announcement that still arrives later concerns no lease of this daemon.
  lease_.clear();
  needs_confirming_ = false;
}

void OwnerLease::OnRenewed(const LeaseStep& step,
                           const Result<StoreEntry>& answer) {
  if (answer) {
    Extend(step.asked_at);
    return;
  }
  if (answer.error().code == ErrorCode::kNotFound) {
    lease_.clear();
    announced_ = false;
    failed_ = false;
  }
}

void OwnerLease::Extend(MonoTime asked_at) {
  valid_until_ = asked_at + options_.length - options_.expiry_margin;
}

LeaseTerm OwnerLease::term() const {
  return announced_ ? LeaseTerm{lease_, valid_until_} : LeaseTerm{};
}

}  // namespace cumin
