#include "cumin_proxy/target_gate.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cumin {

namespace {

/** A daemon that sent nothing for so long routes nothing here. */
constexpr Duration kRoutingPeerAge = std::chrono::seconds(30);

}  // namespace

TargetGate::TargetGate(VmId self, const Clock& clock, MetricRegistry& metrics)
    : self_(std::move(self)),
      clock_(clock),
      started_(metrics.GetCounter("admission_started_total")),
      queued_(metrics.GetCounter("admission_queued_total")),
      refused_(metrics.GetCounter("admission_refused_total")),
      crashes_(metrics.GetCounter("target_crashes_total")),
      queue_(*this) {}

std::optional<Refusal> TargetGate::Enter(GateCall& call) {
  std::unique_lock<std::mutex> lock(mutex_);
  const MonoTime now = clock_.Now();
  Advance(now);
  UpdateSlots(now);
  std::optional<Refusal> refusal = CheckTarget(call);
  if (!refusal) {
    refusal = CheckSuspect(call, now);
  }
  if (refusal) {
    refused_.Add();
    return refusal;
  }
  Refusal denied;
  const Admission admission = queue_.Admit(call.pending_, now, &denied);
  if (admission == Admission::kQueued) {
    queued_.Add();
    refusal = AwaitSlot(call, lock);
  } else if (admission == Admission::kRefused) {
    refusal = denied;
  }
  if (refusal) {
    refused_.Add();
    EndSuspect(call, false);
    return refusal;
  }
  started_.Add();
  call.target_process_ = target_process_;
  running_.push_back(call);
  return std::nullopt;
}

void TargetGate::Leave(GateCall& call, RunOutcome outcome) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const MonoTime now = clock_.Now();
  running_.erase(running_.iterator_to(call));
  const bool was_answered = outcome == RunOutcome::kAnswered;
  EndSuspect(call, was_answered);
  if (was_answered) {
    slow_start_.OnAnswer(now);
  }
  Advance(now);
  UpdateSlots(now);
  queue_.Finish(call.pending_, now, outcome);
}

void TargetGate::SetTarget(const std::optional<AnnouncedTarget>& target) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (target == target_) {
    return;
  }
  const MonoTime now = clock_.Now();
  const bool is_new =
      target && (!target_ || target_->endpoint != target->endpoint);
  const bool leaves = target && target->state == TargetState::kLeaving;
  target_ = target;
  if (is_new) {
    slow_start_.Begin();
  }
  if (leaves) {
    StartDrain(Duration::zero(), now);
  } else if (target && !daemon_leaves_) {
    drain_ = DrainState();
  }
  if (!target) {
    queue_.RefuseWaiting(RefusalReason::kNoTarget, "the target is gone");
  }
  Advance(now);
  UpdateSlots(now);
}

void TargetGate::BeginLeave(Duration accept_for) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const MonoTime now = clock_.Now();
  daemon_leaves_ = true;
  StartDrain(accept_for, now);
  Advance(now);
}

DrainStep TargetGate::AdvanceDrain() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return Advance(clock_.Now());
}

void TargetGate::OnPeerCall(const VmId& peer) {
  const std::lock_guard<std::mutex> lock(mutex_);
  routing_peers_[peer] = clock_.Now();
}

void TargetGate::OnLoadTold(const VmId& peer, const TargetLoad& load) {
  if (load.leaving) {
    const std::lock_guard<std::mutex> lock(mutex_);
    drain_.OnPeerConfirmed(peer);
  }
}

std::vector<SuspectRecord> TargetGate::OnTargetCrash(const GateCall& call) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (call.target_process_ != target_process_) {
    return {};
  }
  const MonoTime now = clock_.Now();
  crashes_.Add();
  std::vector<InFlightRequest> in_flight;
  std::vector<RequestFingerprint> fingerprints;
  for (GateCall& it : running_) {
    if (it.target_process_ == target_process_) {
      in_flight.push_back(InFlightRequest{it.Fingerprint(), it.is_suspect_});
      fingerprints.push_back(it.Fingerprint());
    }
  }
  target_process_ += 1;
  // The time tells apart the crashes under successive daemons of this VM.
  const auto sequence =
      static_cast<std::uint64_t>(ToUnixMillis(clock_.WallNow())) +
      target_process_;
  slow_start_.Begin();
  suspects_.OnCrash(TargetCrash{self_, sequence}, in_flight, now);
  return ExportSuspects(fingerprints, now);
}

void TargetGate::OnTargetUnreachable() {
  const std::lock_guard<std::mutex> lock(mutex_);
  is_unreachable_ = true;
  queue_.RefuseWaiting(RefusalReason::kNoTarget, "the target is gone");
  UpdateSlots(clock_.Now());
}

void TargetGate::OnAnnouncement() {
  const std::lock_guard<std::mutex> lock(mutex_);
  is_unreachable_ = false;
  UpdateSlots(clock_.Now());
}

std::vector<SuspectRecord> TargetGate::ImportSuspects(
    const std::vector<SuspectRecord>& records) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const MonoTime now = clock_.Now();
  suspects_.Expire(now);
  std::vector<RequestFingerprint> fingerprints;
  for (const SuspectRecord& it : records) {
    suspects_.Import(it, now);
    fingerprints.push_back(it.fingerprint);
  }
  return ExportSuspects(fingerprints, now);
}

std::vector<SuspectRecord> TargetGate::ExportSuspects(
    const std::vector<RequestFingerprint>& fingerprints, MonoTime now) const {
  std::vector<SuspectRecord> records;
  for (SuspectRecord& it : suspects_.Export(now)) {
    if (std::find(fingerprints.begin(), fingerprints.end(), it.fingerprint) !=
        fingerprints.end()) {
      records.push_back(std::move(it));
    }
  }
  return records;
}

TargetLoad TargetGate::Load() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  TargetLoad load = queue_.Load();
  load.leaving = !drain_.IsReady();
  return load;
}

void TargetGate::OnStart(PendingCall& call) {
  CallOf(call).decided_.notify_one();
}

void TargetGate::OnRefuse(PendingCall& call, const Refusal& refusal) {
  CallOf(call).refusal_ = refusal;
  CallOf(call).decided_.notify_one();
}

std::optional<Refusal> TargetGate::CheckTarget(const GateCall& call) const {
  if (!target_ || target_->service != call.call().service) {
    return NotRun(
        RefusalReason::kNoTarget,
        "this VM has no target of service " + call.call().service.str());
  }
  if (is_unreachable_) {
    return NotRun(RefusalReason::kNoTarget, "the target is gone");
  }
  if (!drain_.AcceptsWork()) {
    return NotRun(RefusalReason::kTargetLeaving, "the target is leaving");
  }
  if (target_->state == TargetState::kStarting) {
    return NotRun(RefusalReason::kTargetStarting, "the target is starting");
  }
  return std::nullopt;
}

std::optional<Refusal> TargetGate::CheckSuspect(GateCall& call, MonoTime now) {
  if (suspects_.empty()) {
    return std::nullopt;
  }
  const SuspectDecision decision =
      suspects_.Begin(call.call().service, call.Fingerprint(), now);
  if (decision == SuspectDecision::kNotSuspect) {
    return std::nullopt;
  }
  call.is_suspect_ = decision == SuspectDecision::kRunAlone;
  return call.is_suspect_
             ? std::nullopt
             : std::make_optional(SuspectTable::RefusalFor(decision));
}

std::optional<Refusal> TargetGate::AwaitSlot(
    GateCall& call, std::unique_lock<std::mutex>& lock) {
  const auto is_decided = [&call] {
    return call.pending_.state() != PendingState::kQueued;
  };
  while (!is_decided()) {
    const Duration left = call.call().deadline - clock_.Now();
    if (left <= Duration::zero() && queue_.Cancel(call.pending_)) {
      call.refusal_ = NotRun(RefusalReason::kDeadlineExpired,
                             "the deadline passed while the call waited");
      break;
    }
    call.decided_.wait_for(lock, left, is_decided);
  }
  return call.refusal_;
}

void TargetGate::EndSuspect(GateCall& call, bool was_answered) {
  if (call.is_suspect_) {
    suspects_.Finish(call.call().service, call.Fingerprint(), was_answered);
    call.is_suspect_ = false;
  }
}

void TargetGate::StartDrain(Duration accept_for, MonoTime now) {
  if (!drain_.IsReady()) {
    return;
  }
  std::set<VmId> peers;
  for (const auto& [vm, sent_at] : routing_peers_) {
    if (vm != self_ && now - sent_at <= kRoutingPeerAge) {
      peers.insert(vm);
    }
  }
  DrainLimits limits;
  limits.accept_for = accept_for;
  drain_ = DrainState(limits);
  drain_.BeginLeave(std::move(peers), now);
}

DrainStep TargetGate::Advance(MonoTime now) {
  const DrainStep step = drain_.Advance(queue_.in_flight(), now);
  if (!drain_.AcceptsWork() && queue_.queued() > 0) {
    queue_.RefuseWaiting(RefusalReason::kTargetLeaving,
                         "the target is leaving");
  }
  return step;
}

void TargetGate::UpdateSlots(MonoTime now) {
  const bool takes_work =
      target_ && !is_unreachable_ && target_->state != TargetState::kStarting;
  const int slots =
      takes_work ? slow_start_.UsableSlots(target_->slots, now) : 0;
  if (slots != queue_.usable_slots()) {
    queue_.SetUsableSlots(slots, now);
  }
}

GateCall& TargetGate::CallOf(PendingCall& pending) {
  return *boost::intrusive::get_parent_from_member(&pending,
                                                   &GateCall::pending_);
}

}  // namespace cumin
