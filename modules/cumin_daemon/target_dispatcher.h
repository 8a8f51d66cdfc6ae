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

/** The way to the target on this VM: the only place that hands calls to it.

    Counts its slots, queues, drains, and answers "not run" from exact state.
*/
class TargetDispatcher final : private DispatchQueue::Listener {
 public:
  /** @param board  outlives this */
  explicit TargetDispatcher(DaemonContext& board);

  /** Carries one attempt to the target.
      @param call      outlives the task
      @param caller    whether the caller still waits
      @param delivery  of the answer over this VM's link; null for a caller on
      this VM */
  Task<CallOutcome> Run(const MeshCall& call, CallerWatch& caller,
                        PeerResponsePacer* delivery);

  /** Forbids an attempt unless it was handed to the target.
      @returns its state after this */
  AttemptState Forbid(const std::string& attempt);

  /** Takes over what the target announced; refuses waiting calls when it takes
      no more work. */
  void OnAnnouncement();

  /** Refuses what cannot end in time; to be called several times a second. */
  void Tick();

  /** @returns the load, for the answers of this daemon */
  TargetLoad Load() const;

  int in_flight() const { return queue_.in_flight(); }

 private:
  struct Waiting;

  void OnStart(DispatchCall& call) override;
  void OnRefuse(DispatchCall& call, const Refusal& refusal) override;

  std::optional<CallOutcome> CheckTarget(const MeshCall& call);
  Task<CallOutcome> RunWithSlot(const MeshCall& call, CallerWatch& caller,
                                PeerResponsePacer* delivery,
                                CallLogBuffer& story);
  Task<CallOutcome> Exchange(const MeshCall& call, CallerWatch& caller,
                             CallLogBuffer& story);
  CallOutcome Judge(ExchangeResult result) const;
  HttpRequest MakeRequest(const MeshCall& call) const;

  DaemonContext& board_;
  DispatchQueue queue_;
  AttemptTable attempts_;
};

}  // namespace cumin
