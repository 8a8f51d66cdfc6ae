#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cumin_admission/attempt_table.h"
#include "cumin_admission/dispatch_queue.h"
#include "cumin_admission/target_runs.h"
#include "cumin_daemon/daemon_context.h"
#include "cumin_daemon/mesh_call.h"
#include "cumin_daemon/peer_response_pacer.h"
#include "cumin_http/http_listener.h"
#include "cumin_http/wake_up.h"

namespace cumin {

/** Dispatches calls to the target on this VM; no other component sends calls to
    it.

    Limits concurrency to the target's slots, queues further calls, and drains.
    Decides "not run" from exact state. Detects crashes of the target, and
    refuses calls that crash targets.
*/
class TargetDispatcher final : private DispatchQueue::Listener {
 public:
  /** Receives crashes of the target. */
  class CrashListener {
   public:
    virtual ~CrashListener() = default;
    /** @param suspects  the records of the requests that were in flight, unless
                         they were answered shortly before */
    virtual void OnTargetCrash(const std::vector<SuspectRecord>& suspects) = 0;
  };

  /** @param context  outlives this */
  explicit TargetDispatcher(DaemonContext& context);

  /** @param listener  outlives this */
  void SetCrashListener(CrashListener& listener) {
    crash_listener_ = &listener;
  }

  /** Runs one attempt on the target.
      @param call    outlives the task
      @param caller  tells whether the caller is still connected
      @param pacer   paces the response over this VM's link; null for a caller
                     on this VM */
  Task<CallOutcome> Run(const MeshCall& call, CallerWatch& caller,
                        PeerResponsePacer* pacer);

  /** Forbids an attempt unless it was already dispatched to the target.
      @returns the state of the attempt afterwards */
  AttemptState Forbid(const std::string& attempt);

  /** Applies the target's latest announcement; refuses the queued calls when
      the target accepts no more. */
  void OnAnnouncement();

  /** Refuses queued calls that cannot finish in time. Must be called several
      times a second. */
  void Tick();

  /** @returns the current load, which is reported with each outcome */
  TargetLoad Load() const;

  int in_flight() const { return queue_.in_flight(); }

 private:
  struct QueuedCall;
  /** The process that announced itself last. */
  struct TargetProcess {
    std::string instance;
    WallTime started_at;
    bool is_leaving = false;
  };

  void OnStart(DispatchCall& call) override;
  void OnRefuse(DispatchCall& call, const Refusal& refusal) override;

  std::optional<CallOutcome> CheckTarget(const MeshCall& call);
  Task<CallOutcome> RunWithSlot(const MeshCall& call,
                                const RequestFingerprint& fingerprint,
                                CallerWatch& caller, PeerResponsePacer* pacer,
                                CallLogBuffer& call_log);
  /** Runs a call that holds a slot, unless it is suspect and may not run. */
  Task<CallOutcome> RunUnlessSuspect(const MeshCall& call,
                                     const RequestFingerprint& fingerprint,
                                     CallerWatch& caller,
                                     CallLogBuffer& call_log);
  Task<CallOutcome> Exchange(const MeshCall& call,
                             const InFlightRequest& request,
                             CallerWatch& caller, CallLogBuffer& call_log);
  /** Checks whether the target's process has ended after it closed the
      connection of a call, and again a little later. */
  Task<void> CheckForCrash();
  /** Probes the target, and records a crash if nothing listens there.
      @param lost_at  when it closed the connection */
  Task<bool> IsTargetGone(MonoTime lost_at);
  Task<void> CheckForCrashLater(MonoTime lost_at);
  /** A report tells of another process than the last one did. */
  void OnNewProcess();
  void RecordCrash(MonoTime lost_at, Duration within);
  Refusal SuspectRefusal(SuspectDecision decision,
                         const RequestFingerprint& fingerprint) const;
  /** @returns TargetLoad::inbound_percent */
  int InboundPercent(MonoTime now) const;
  /** Records the origin of the call.
      @returns its priority in the queue */
  int PriorityOf(const MeshCall& call);
  /** Records an answer for the roll-out of the service, if there is one.
      @param began  when the call was dispatched */
  void RecordVersionSample(const MeshCall& call, const CallOutcome& outcome,
                           MonoTime began);
  CallOutcome ClassifyResult(ExchangeResult result) const;
  HttpRequest MakeRequest(const MeshCall& call) const;

  DaemonContext& context_;
  DispatchQueue queue_;
  AttemptTable attempts_;
  TargetRuns runs_;
  std::optional<TargetProcess> process_;
  CrashListener* crash_listener_ = nullptr;
  std::uint64_t crash_count_ = 0;
  bool is_checking_later_ = false;
};

}  // namespace cumin
