#pragma once

#include "cumin_admission/attempt_table.h"
#include "cumin_daemon/daemon_context.h"
#include "cumin_daemon/mesh_call.h"
#include "cumin_fleet/member.h"
#include "cumin_http/http_listener.h"

namespace cumin {

/** Sends calls and requests to other daemons. */
class PeerClient {
 public:
  /** @param context  outlives this */
  explicit PeerClient(DaemonContext& context) : context_(context) {}

  /** Forwards one attempt to the daemon beside its target. If the connection
      fails for an at-most-once call, the daemon is asked over a new connection
      to forbid the attempt; if it does, the call is known not to have run.
      @param target  the daemon; outlives the task
      @param call    outlives the task
      @param caller  tells whether the caller is still connected */
  Task<CallOutcome> Run(const Member& target, const MeshCall& call,
                        CallerWatch& caller, CallLogBuffer& call_log);

  /** Sends a request of the internal protocol, such as a configuration pull.
      @returns the complete response with status 200, or kUnavailable */
  Task<Result<HttpResponse>> Send(Endpoint peer, HttpRequest request,
                                  Duration timeout);

 private:
  Task<AttemptState> ForbidAt(Endpoint peer, const MeshCall& call,
                              MonoTime sent_at);

  DaemonContext& context_;
};

/** Path of the request that forbids an attempt. */
constexpr char kForbidPath[] = "/-/forbid";

}  // namespace cumin
