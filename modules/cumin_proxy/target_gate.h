#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "cumin_admission/admission_queue.h"
#include "cumin_admission/drain_state.h"
#include "cumin_admission/slow_start.h"
#include "cumin_admission/suspect_table.h"
#include "cumin_core/metrics.h"
#include "cumin_fleet/member.h"
#include "cumin_proxy/gate_call.h"

namespace cumin {

/** The way to the target on this VM for the workers: cumin_admission's
    decisions behind one lock, with workers that wait for a slot.

    A call that Enter lets in is handed to the target once, by the worker that
    entered; all other calls have not run. Thread-safe; no lock is held while a
    worker talks to the target.
*/
class TargetGate final : private AdmissionQueue::Listener {
 public:
  /** @param self     this VM
      @param clock    outlives this object
      @param metrics  outlives this object */
  TargetGate(VmId self, const Clock& clock, MetricRegistry& metrics);

  /** Waits until the call may be handed to the target.
      @param call  not used before
      @returns nothing when the call holds a slot, which Leave returns; else
      why not, always NotRun */
  std::optional<Refusal> Enter(GateCall& call);

  /** Returns the slot of a call that Enter let in. */
  void Leave(GateCall& call, RunOutcome outcome);

  /** Takes in what the target announced last. A target that leaves ends when it
      is idle, so it gets no new work from here on.
      @param target  nothing when it is gone */
  void SetTarget(const std::optional<AnnouncedTarget>& target);

  /** The whole daemon leaves: announces it and drains.
      @param accept_for  how long new work is still taken */
  void BeginLeave(Duration accept_for);

  /** @returns the step of the drain now */
  DrainStep AdvanceDrain();

  /** A daemon has sent a call here.
      @param peer  the VM where the call arrived */
  void OnPeerCall(const VmId& peer);

  /** A daemon was told the load; when the target leaves, it now knows. */
  void OnLoadTold(const VmId& peer, const TargetLoad& load);

  /** The target's process ended while it executed the call. Notes every call
      that it executed as suspect.
      @returns the records to tell other daemons of the service; none when the
      crash was noted before */
  std::vector<SuspectRecord> OnTargetCrash(const GateCall& call);

  /** Nothing listens at the target's address; until its next announcement
      there is no target. */
  void OnTargetUnreachable();

  /** The target announced itself, with or without a change. */
  void OnAnnouncement();

  /** Takes in another daemon's records.
      @returns what is known here of the same requests */
  std::vector<SuspectRecord> ImportSuspects(
      const std::vector<SuspectRecord>& records);

  /** @returns the target's load; no slots without a target */
  TargetLoad Load() const;

 private:
  std::vector<SuspectRecord> ExportSuspects(
      const std::vector<RequestFingerprint>& fingerprints, MonoTime now) const;
  void OnStart(PendingCall& call) override;
  void OnRefuse(PendingCall& call, const Refusal& refusal) override;

  std::optional<Refusal> CheckTarget(const GateCall& call) const;
  std::optional<Refusal> CheckSuspect(GateCall& call, MonoTime now);
  std::optional<Refusal> AwaitSlot(GateCall& call,
                                   std::unique_lock<std::mutex>& lock);
  void EndSuspect(GateCall& call, bool was_answered);
  void StartDrain(Duration accept_for, MonoTime now);
  DrainStep Advance(MonoTime now);
  void UpdateSlots(MonoTime now);
  static GateCall& CallOf(PendingCall& pending);

  const VmId self_;
  const Clock& clock_;
  Counter& started_;
  Counter& queued_;
  Counter& refused_;
  Counter& crashes_;

  mutable std::mutex mutex_;
  AdmissionQueue queue_;
  DrainState drain_;
  SlowStart slow_start_;
  SuspectTable suspects_;
  std::optional<AnnouncedTarget> target_;
  bool is_unreachable_ = false;
  bool daemon_leaves_ = false;
  std::uint64_t target_process_ = 0;
  boost::intrusive::list<GateCall> running_;
  /** Daemons that sent work here, and when. */
  std::map<VmId, MonoTime> routing_peers_;
};

}  // namespace cumin
