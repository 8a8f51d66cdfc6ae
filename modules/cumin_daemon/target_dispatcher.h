#pragma once

#include <map>
#include <string>

#include "cumin_admission/attempt_table.h"
#include "cumin_admission/dispatch_queue.h"
#include "cumin_daemon/daemon_context.h"
#include "cumin_daemon/mesh_call.h"
#include "cumin_daemon/peer_response_pacer.h"
#include "cumin_http/http_listener.h"
#include "cumin_http/wake_up.h"

namespace cumin {

/** Dispatches calls to the target on this VM; no other component sends calls to
    it.

    Limits concurrency to the target's slots, queues further calls, and drains.
    Decides "not run" from exact state.
*/
class TargetDispatcher final : private DispatchQueue::Listener {
 public:
  /** @param context  outlives this */
  explicit TargetDispatcher(DaemonContext& context);

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

  void OnStart(DispatchCall& call) override;
  void OnRefuse(DispatchCall& call, const Refusal& refusal) override;

  std::optional<CallOutcome> CheckTarget(const MeshCall& call);
  Task<CallOutcome> RunWithSlot(const MeshCall& call, CallerWatch& caller,
                                PeerResponsePacer* pacer,
                                CallLogBuffer& call_log);
  Task<CallOutcome> Exchange(const MeshCall& call, CallerWatch& caller,
                             CallLogBuffer& call_log);
  CallOutcome ClassifyResult(ExchangeResult result) const;
  HttpRequest MakeRequest(const MeshCall& call) const;

  DaemonContext& context_;
  DispatchQueue queue_;
  AttemptTable attempts_;
};

}  // namespace cumin
