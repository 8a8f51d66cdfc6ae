#pragma once

#include "cumin_admission/attempt_table.h"
#include "cumin_daemon/daemon_context.h"
#include "cumin_daemon/mesh_call.h"
#include "cumin_fleet/member.h"
#include "cumin_http/http_listener.h"

namespace cumin {

/** Carries calls to the daemons beside other targets. */
class PeerClient {
 public:
  /** @param board  outlives this */
  explicit PeerClient(DaemonContext& board) : board_(board) {}

  /** Carries one attempt to the daemon beside its target. When the way back
      breaks for a call that must not run twice, the daemon is asked on a new
      connection to forbid the attempt; if it does, the call surely did not run.
      @param target  the daemon; outlives the task
      @param call    outlives the task
      @param caller  whether the caller still waits */
  Task<CallOutcome> Run(const Member& target, const MeshCall& call,
                        CallerWatch& caller, CallLogBuffer& story);

  /** Sends a request of the daemons' own.
      @returns the whole answer with status 200, or an error */
  Task<Result<HttpResponse>> Send(Endpoint peer, HttpRequest request,
                                  Duration timeout);

 private:
  Task<AttemptState> ForbidAt(Endpoint peer, const MeshCall& call,
                              MonoTime sent_at);

  DaemonContext& board_;
};

/** Path of the request that forbids an attempt. */
constexpr char kForbidPath[] = "/-/forbid";

}  // namespace cumin
