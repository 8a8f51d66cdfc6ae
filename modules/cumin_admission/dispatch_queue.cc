#include "cumin_admission/dispatch_queue.h"

#include <algorithm>

namespace cumin {

namespace {

/** Maximum number of operations with an estimate of their own; further ones
    use the mean over all calls. */
constexpr std::size_t kMaxOperations = 64;
/** Maximum queue length per slot, regardless of expected service times. */
constexpr int kMaxQueuedPerSlot = 16;
/** One late call may wait per this many slots. */
constexpr int kSlotsPerLateCall = 2;
/** Priority of calls made by calls that are already running, which fail if
    these are refused. */
constexpr int kMostUrgent = 0;
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
    *refusal = NotRun(RefusalReason::kNoTarget, "the target accepts no calls");
    return DispatchDecision::kRefused;
  }
  const Duration time = ExpectedTime(call.operation, now);
  if (in_flight_ < slots_) {
    if (now >= call.deadline) {
      *refusal = NotRun(RefusalReason::kDeadlineExpired,
                        "the deadline has already passed");
      return DispatchDecision::kRefused;
    }
    Start(call, now);
    return DispatchDecision::kStarted;
  }
  MonoTime end = now + ExpectedWait(call, now) + time;
  if (end > call.wanted_by) {
    // A late call waits behind the others of its priority, so it ends later.
    call.is_late = true;
    end = now + ExpectedWait(call, now) + time;
    // Few late calls may wait, so that further ones are refused promptly. The
    // most urgent are exempt, since calls that already run depend on them.
    const int limit = std::max(1, slots_ / kSlotsPerLateCall);
    if (call.priority > kMostUrgent && WaitingLate() >= limit) {
      return Refuse(call, RefusalReason::kShed, end, now, refusal);
    }
  }
  if (end > call.deadline || queued() >= slots_ * kMaxQueuedPerSlot) {
    return Refuse(call, RefusalReason::kQueueFull, end, now, refusal);
  }
  waiting_.insert(call);
  return DispatchDecision::kQueued;
}

DispatchDecision DispatchQueue::Refuse(const DispatchCall& call,
                                       RefusalReason reason, MonoTime end,
                                       MonoTime now, Refusal* refusal) const {
  // Time after which the queue is expected to be short enough; wanted_by may
  // already have passed.
  const Duration excess = std::chrono::duration_cast<Duration>(
      end - std::max(now, std::min(call.wanted_by, call.deadline)));
  *refusal =
      NotRun(reason, "the target's queue is too long to meet the deadline",
             std::max(kMinRetryAfter, excess));
  return DispatchDecision::kRefused;
}

int DispatchQueue::WaitingLate() const {
  return static_cast<int>(
      std::count_if(waiting_.begin(), waiting_.end(),
                    [](const DispatchCall& it) { return it.is_late; }));
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
                                    "no slot became free before the deadline"));
  }
}

void DispatchQueue::RefuseAll(RefusalReason reason, const std::string& detail) {
  while (!waiting_.empty()) {
    DispatchCall& call = *waiting_.begin();
    waiting_.erase(waiting_.begin());
    listener_.OnRefuse(call, NotRun(reason, detail));
  }
}

TargetLoad DispatchQueue::Load(MonoTime now) const {
  TargetLoad load;
  load.in_flight = in_flight_;
  load.queued = queued();
  load.usable_slots = slots_;
  load.mean_time = MeanTime(now);
  return load;
}

Duration DispatchQueue::ExpectedTime(const std::string& operation,
                                     MonoTime now) const {
  const auto it = times_.find(operation);
  return it == times_.end() ? MeanTime(now) : it->second.Estimate(now);
}

Duration DispatchQueue::ExpectedWait(const DispatchCall& call,
                                     MonoTime now) const {
  if (in_flight_ < slots_ || slots_ <= 0) {
    return Duration::zero();
  }
  const auto before =
      std::count_if(waiting_.begin(), waiting_.end(),
                    [&](const DispatchCall& it) { return it < call; });
  // All slots are in use; on average one becomes free every MeanTime / slots_,
  // and the calls before this one take theirs first.
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
      listener_.OnRefuse(call,
                         NotRun(RefusalReason::kDeadlineTooShort,
                                "no slot became free before the deadline"));
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
