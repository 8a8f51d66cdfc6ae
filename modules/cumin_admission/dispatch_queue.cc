#include "cumin_admission/dispatch_queue.h"

#include <algorithm>

namespace cumin {

namespace {

/** Operations whose times are kept; more share the mean. */
constexpr std::size_t kMaxOperations = 64;
/** Waiting calls for each slot at most, whatever they are expected to take. */
constexpr int kMaxQueuedPerSlot = 16;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);

}  // namespace

void DispatchQueue::SetSlots(int slots, MonoTime now) {
  slots_ = slots;
  StartWaiting(now);
}

DispatchDecision DispatchQueue::Offer(DispatchCall& call, MonoTime now,
                                      Refusal* refusal) {
  call.queued_at = now;
  call.sequence = next_sequence_++;
  if (slots_ <= 0) {
    *refusal = NotRun(RefusalReason::kNoTarget, "the target takes no work");
    return DispatchDecision::kRefused;
  }
  const Duration time = ExpectedTime(call.operation, now);
  if (in_flight_ < slots_) {
    if (now >= call.deadline) {
      *refusal = NotRun(RefusalReason::kDeadlineExpired, "no time is left");
      return DispatchDecision::kRefused;
    }
    Start(call, now);
    return DispatchDecision::kStarted;
  }
  const Duration wait = ExpectedWait(call.priority, now);
  const MonoTime end = now + wait + time;
  if (end > call.deadline || queued() >= slots_ * kMaxQueuedPerSlot) {
    const Duration excess =
        std::chrono::duration_cast<Duration>(end - call.deadline);
    *refusal = NotRun(RefusalReason::kQueueFull,
                      "the target's queue is too long for the time left",
                      std::max(kMinRetryAfter, std::min(wait, excess)));
    return DispatchDecision::kRefused;
  }
  if (end > call.wanted_by) {
    const Duration excess =
        std::chrono::duration_cast<Duration>(end - call.wanted_by);
    *refusal = NotRun(RefusalReason::kShed,
                      "the target's queue is too long for a timely answer",
                      std::max(kMinRetryAfter, std::min(wait, excess)));
    return DispatchDecision::kRefused;
  }
  waiting_.insert(call);
  return DispatchDecision::kQueued;
}

void DispatchQueue::Finish(DispatchCall& call, MonoTime now,
                           bool was_answered) {
  in_flight_ -= 1;
  if (was_answered) {
    const Duration elapsed =
        std::chrono::duration_cast<Duration>(now - call.started_at);
    mean_time_.Add(elapsed, now);
    if (times_.size() < kMaxOperations || times_.count(call.operation) > 0) {
      times_[call.operation].Add(elapsed, now);
    }
  }
  StartWaiting(now);
}

bool DispatchQueue::Cancel(DispatchCall& call) {
  if (!call.is_linked()) {
    return false;
  }
  waiting_.erase(waiting_.iterator_to(call));
  return true;
}

void DispatchQueue::Expire(MonoTime now) {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    DispatchCall& call = *it;
    if (now + ExpectedTime(call.operation, now) <= call.deadline) {
      ++it;
      continue;
    }
    it = waiting_.erase(it);
    listener_.OnRefuse(call, NotRun(RefusalReason::kDeadlineTooShort,
                                    "no slot came free in time"));
  }
}

void DispatchQueue::RefuseAll(RefusalReason reason, const std::string& detail) {
  while (!waiting_.empty()) {
    DispatchCall& call = *waiting_.begin();
    waiting_.erase(waiting_.begin());
    listener_.OnRefuse(call, NotRun(reason, detail));
  }
}

TargetLoad DispatchQueue::Load() const {
  TargetLoad load;
  load.in_flight = in_flight_;
  load.queued = queued();
  load.usable_slots = slots_;
  return load;
}

Duration DispatchQueue::ExpectedTime(const std::string& operation,
                                     MonoTime now) const {
  const auto it = times_.find(operation);
  return it == times_.end() ? MeanTime(now) : it->second.Estimate(now);
}

Duration DispatchQueue::ExpectedWait(int priority, MonoTime now) const {
  if (in_flight_ < slots_ || slots_ <= 0) {
    return Duration::zero();
  }
  const auto before = std::count_if(
      waiting_.begin(), waiting_.end(),
      [&](const DispatchCall& it) { return it.priority <= priority; });
  return MeanTime(now) * (before + 1) / slots_;
}

void DispatchQueue::Start(DispatchCall& call, MonoTime now) {
  in_flight_ += 1;
  call.started_at = now;
}

void DispatchQueue::StartWaiting(MonoTime now) {
  while (in_flight_ < slots_ && !waiting_.empty()) {
    DispatchCall& call = *waiting_.begin();
    waiting_.erase(waiting_.begin());
    if (now + ExpectedTime(call.operation, now) > call.deadline) {
      listener_.OnRefuse(call, NotRun(RefusalReason::kDeadlineTooShort,
                                      "no slot came free in time"));
      continue;
    }
    Start(call, now);
    listener_.OnStart(call);
  }
}

Duration DispatchQueue::MeanTime(MonoTime now) const {
  return mean_time_.Estimate(now);
}

}  // namespace cumin
