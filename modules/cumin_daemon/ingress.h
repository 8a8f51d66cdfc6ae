#pragma once

#include <map>
#include <string>

#include "cumin_daemon/daemon_context.h"
#include "cumin_daemon/mesh_call.h"
#include "cumin_daemon/peer_client.h"
#include "cumin_daemon/target_dispatcher.h"
#include "cumin_http/http_listener.h"

namespace cumin {

/** Serves the callers on this VM: finds the route, chooses a target, retries
    what may be retried, and answers with the target's whole answer or with a
    true refusal.

    A call is judged by the one version of the routes that was in force when it
    arrived.
*/
class Ingress final : public HttpRequestHandler {
 public:
  /** All arguments outlive this. */
  Ingress(DaemonContext& board, TargetDispatcher& target, PeerClient& peers);

  Task<HttpResponse> Handle(HttpRequest request, CallerWatch& caller) override;

 private:
  struct Attempts;

  Task<HttpResponse> Serve(HttpRequest request, CallerWatch& caller,
                           CallLogBuffer& story);
  Task<HttpResponse> Carry(const MeshCall& call, const Route& route,
                           CallerWatch& caller, CallLogBuffer& story);
  Task<CallOutcome> RunAt(const Member& target, const MeshCall& call,
                          CallerWatch& caller, CallLogBuffer& story);
  bool MayTryAgain(const MeshCall& call, const Route& route,
                   const CallOutcome& outcome, const Attempts& attempts);
  /** @param outcome  its answer is taken out */
  HttpResponse Answer(const MeshCall& call, CallOutcome& outcome) const;
  Result<MeshCall> MakeCall(HttpRequest request, const Route& route);

  /** A caller that comes back has less time than it began with; the longest
      time seen on a route tells how much less.
      @returns how long ago its first attempt was, as far as known */
  Duration ElapsedBefore(const Route& route, Duration patience);

  DaemonContext& board_;
  TargetDispatcher& target_;
  PeerClient& peers_;
  /** By route, in the version below. */
  std::map<std::string, Duration> longest_patience_;
  std::uint64_t patience_version_ = 0;
};

}  // namespace cumin
