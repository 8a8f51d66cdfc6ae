#include "cumin_proxy/target_router.h"

namespace cumin {

namespace {

/** @returns true when the refusal tells that the target or the way to it does
    not work */
bool IsTargetFailure(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kPeerUnreachable:
    case RefusalReason::kConnectionLost:
    case RefusalReason::kAnswerIncomplete:
    case RefusalReason::kTargetFailed:
    case RefusalReason::kNoTarget:
      return true;
    default:
      return false;
  }
}

/** A call that ran out of time at the target may have met a silent one; a call
    that only waited met a busy one. */
bool IsFailure(const CallResult& result) {
  if (result.verdict == Verdict::kRan) {
    return false;
  }
  const bool timed_out =
      result.verdict == Verdict::kMayHaveRun &&
      result.refusal.reason == RefusalReason::kDeadlineExpired;
  return timed_out || IsTargetFailure(result.refusal.reason);
}

}  // namespace

std::optional<Member> TargetRouter::Choose(const ChooseRequest& request,
                                           MonoTime now, Random& random,
                                           Refusal* refusal) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Refresh(now);
  return chooser_.Choose(request, now, random, refusal);
}

void TargetRouter::Finish(const VmId& vm, const CallResult& result,
                          MonoTime now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  chooser_.Finish(vm);
  if (result.load) {
    chooser_.OnLoad(vm, *result.load, now);
  }
  if (IsFailure(result)) {
    chooser_.OnFailure(vm, now);
  } else {
    chooser_.OnSuccess(vm);
  }
}

void TargetRouter::OnCall(const ServiceId& service) {
  const std::lock_guard<std::mutex> lock(mutex_);
  budgets_[service].OnCall();
}

RetryDecision TargetRouter::DecideRetry(const ServiceId& service,
                                        RetryPolicy& policy,
                                        const Refusal& refusal,
                                        const CallDeadline& deadline,
                                        MonoTime now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return policy.Decide(refusal, deadline, budgets_[service], now);
}

void TargetRouter::Refresh(MonoTime now) {
  const std::uint64_t revision = fleet_.revision();
  if (revision != revision_) {
    chooser_.SetMembers(fleet_.Members(), now);
    revision_ = revision;
  }
}

}  // namespace cumin
